import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

const USE_HTTP = 'Use @parsleywood/http, which checks responses.';
const EXPORTED_DECLARATIONS = ['ExportNamedDeclaration[declaration]'];

export default tseslint.config(
  {ignores: ['**/dist/', '**/generated/', 'node_modules/', 'target/']},
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strict, tseslint.configs.stylistic],
    plugins: {jsdoc},
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'no-var': 'error',
      'prefer-const': 'error',
      'prefer-arrow-callback': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'PropertyDefinition[key.type="PrivateIdentifier"]',
          message: 'Use the private modifier.',
        },
        {
          selector:
            'Program:has(> ExportNamedDeclaration[declaration] ~ ExportNamedDeclaration[declaration])',
          message: 'One export a file.',
        },
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          contexts: EXPORTED_DECLARATIONS,
          require: {FunctionDeclaration: false},
        },
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        {accessibility: 'no-public'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE'],
        },
        {
          selector: 'parameter',
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
      ],
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
    },
  },
  {
    files: ['packages/{cli,daemon}/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*.test.ts', '**/testing/**', '**/stand_ins/**'],
    rules: {
      'no-restricted-globals': ['error', {name: 'fetch', message: USE_HTTP}],
      'no-restricted-imports': [
        'error',
        {
          name: 'undici',
          importNames: ['Agent', 'Client', 'fetch', 'Pool', 'request'],
          message: USE_HTTP,
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: {
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
  },
);
