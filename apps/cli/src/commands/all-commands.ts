import type {Command} from '../command.js';
import {checkCommand} from './check.js';
import {completionCommand} from './completion.js';
import {confirmRestoreCommand} from './confirm-restore.js';
import {diffCommand} from './diff.js';
import {emulateCommand} from './emulate.js';
import {explainCommand} from './explain.js';
import {historyCommand} from './history.js';
import {movesCommand, takeBackCommand} from './moves.js';
import {promoteCommand} from './promote.js';
import {reassertCommand} from './reassert.js';
import {statusCommand} from './status.js';
import {submitCommand} from './submit.js';

const nodeCommands: readonly Command[] = [
  checkCommand,
  submitCommand,
  promoteCommand,
  reassertCommand,
  confirmRestoreCommand,
  historyCommand,
  diffCommand,
  statusCommand,
  movesCommand,
  takeBackCommand,
  explainCommand,
  emulateCommand,
];

const completionName = 'completion';

/** Every command, in the order of the help text. */
export const ALL_COMMANDS: readonly Command[] = [
  ...nodeCommands,
  completionCommand([...nodeCommands.map(nameOf), completionName]),
];

function nameOf(command: Command): string {
  return command.usage.split(' ')[0] ?? '';
}
