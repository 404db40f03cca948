/** Writes docs/RESULT_CODES.md from the codes in packages/core. */
import {writeFileSync} from 'node:fs';
import {renderCodeTable} from '../packages/core/dist/codes/render-code-table.js';

writeFileSync('docs/RESULT_CODES.md', renderCodeTable());
