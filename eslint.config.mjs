import * as tseslint from 'typescript-eslint';
import * as arrows from './scripts/package_arrows.mjs';

/** One rule block a package: it may import only along its arrows. */
const arrowBlocks = Object.keys(arrows.PACKAGE_ARROWS).map((name) => {
  const allowed = arrows.PACKAGE_ARROWS[name];
  const barred = Object.keys(arrows.PACKAGE_ARROWS)
    .filter((other) => other !== name && !allowed.includes(other))
    .map((other) => (other === '' ? 'gypsumwall' : `@gypsumwall/${other}`));
  return {
    files: [`packages/${arrows.folderOf(name)}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: barred.map((path) => ({
            name: path,
            message: 'Package arrows go one way: scripts/package_arrows.mjs.',
          })),
          patterns: ['@gypsumwall/*/*', '../../gypsumwall*'],
        },
      ],
    },
  };
});

export default tseslint.config(
  {ignores: ['**/lib/**', '**/dist/**', '**/*_pb.ts', '**/node_modules/**']},
  {
    files: ['packages/*/src/**/*.ts'],
    extends: [...tseslint.configs.recommendedTypeChecked],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: false},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {selector: 'function', format: ['camelCase', 'PascalCase']},
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          // node:test collects its own tests; nobody awaits them at top level.
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'describe', 'it', 'suite'],
              package: 'node:test',
            },
          ],
        },
      ],
      eqeqeq: 'error',
      'prefer-const': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportSpecifier, ImportDefaultSpecifier',
          message: 'Import a namespace: import * as name from "module".',
        },
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Export by name; default exports are barred.',
        },
      ],
    },
  },
  ...arrowBlocks,
);
