/**
 * ESLint configuration: Google TypeScript Style from gts, without generated
 * code.
 */
import gts from 'gts';

const TEST_FUNCTIONS = ['describe', 'it', 'before', 'after'];

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'packages/*/src/generated/**',
      'platform/src/generated/**',
      'target/**',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: [
          './packages/*/tsconfig.json',
          './platform/tsconfig.json',
          './platform/stand_ins/tsconfig.json',
        ],
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', package: 'node:test', name: TEST_FUNCTIONS},
          ],
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {varsIgnorePattern: '^_', argsIgnorePattern: '^_'},
      ],
    },
  },
  {
    files: ['tools/*.js', 'eslint.config.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {console: 'readonly', process: 'readonly', URL: 'readonly'},
    },
  },
];
