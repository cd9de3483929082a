// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['**/lib/**', '**/node_modules/**', 'artifacts/**', 'target/**']},
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      eqeqeq: 'error',
      'max-lines': ['error', {max: 600, skipBlankLines: true}],
      'no-var': 'error',
      'prefer-const': 'error',
    },
  },
  {
    // The bundler replaces a CommonJS package by this file.
    files: ['**/*.cjs'],
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
);
