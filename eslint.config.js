import js from '@eslint/js';
import tsdoc from 'eslint-plugin-tsdoc';
import tseslint from 'typescript-eslint';

/** Google TypeScript Style Guide, as far as lint rules can check it. */
export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'node_modules/**',
      'tmp/**',
      'target/**',
      'journal/**',
    ],
  },
  js.configs.recommended,
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        setTimeout: 'readonly',
        clearTimeout: 'readonly',
        URL: 'readonly',
        fetch: 'readonly',
        AbortSignal: 'readonly',
        AbortController: 'readonly',
        Buffer: 'readonly',
      },
    },
  },
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.strict, ...tseslint.configs.stylistic],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {tsdoc},
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-console': 'error',
      'no-restricted-syntax': [
        'error',
        {selector: 'TSEnumDeclaration', message: 'Use a constant object.'},
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
      'no-var': 'error',
      'prefer-const': 'error',
      'max-lines': ['error', {max: 300, skipBlankLines: true}],
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['function', 'classMethod', 'parameter'],
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      'tsdoc/syntax': 'error',
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {'@typescript-eslint/no-non-null-assertion': 'off'},
  },
);
