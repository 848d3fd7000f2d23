import * as tseslint from 'typescript-eslint';
import * as arrows from './scripts/package_arrows.mjs';

/** Forms that are barred everywhere. */
const BARRED_SYNTAX = [
  {
    selector: 'ImportSpecifier, ImportDefaultSpecifier',
    message: 'Import a namespace: import * as name from "module".',
  },
  {
    selector:
      'ExportDefaultDeclaration, ExportSpecifier[exported.name="default"]',
    message: 'Export by name; default exports are barred.',
  },
];

/** Classes are left to the libraries that ask for them. */
const BARRED_CLASSES = {
  selector: 'ClassDeclaration, ClassExpression',
  message: 'Write a factory function that closes over its state.',
};

/** A list that follows from a request may have any length. */
const BARRED_SPREAD = {
  selector:
    'CallExpression[callee.property.name=/^(max|min|push|unshift)$/] > SpreadElement',
  message: 'The arguments may not fit on the stack: use types.lists.',
};

/** Packages whose lists follow from requests, records and answers. */
const LONG_LIST_PACKAGES = [
  'scheduling',
  'cell',
  'organisations',
  'telemetry',
  'placement',
];

/** Where a library forces classes: oclif's commands. */
const CLASS_FILES = ['packages/gypsumwall/src/commands/*.ts'];

const ARROW_MESSAGE = 'Package arrows go one way: scripts/package_arrows.mjs.';

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
          paths: barred.map((path) => ({name: path, message: ARROW_MESSAGE})),
          patterns: [
            {regex: '^@gypsumwall/[^/]+/', message: 'Import the package.'},
            {regex: '\\.\\./gypsumwall', message: 'Import the package.'},
          ],
        },
      ],
      // no-restricted-imports sees neither import() nor import types.
      'no-restricted-syntax': [
        'error',
        ...BARRED_SYNTAX,
        BARRED_CLASSES,
        ...barred.map((path) => ({
          selector: `ImportExpression[source.value="${path}"], TSImportType[source.value="${path}"]`,
          message: ARROW_MESSAGE,
        })),
      ],
    },
  };
});

/** The same with the rule on long lists, where they are not those of a test. */
const longListBlocks = LONG_LIST_PACKAGES.map((name) => {
  const folder = arrows.folderOf(name);
  const files = [`packages/${folder}/src/**/*.ts`];
  const block = arrowBlocks.find((one) => one.files[0] === files[0]);
  const [level, ...barred] = block.rules['no-restricted-syntax'];
  return {
    files,
    ignores: ['**/__tests__/**', '**/__fixtures__/**'],
    rules: {'no-restricted-syntax': [level, ...barred, BARRED_SPREAD]},
  };
});

export default tseslint.config(
  {
    ignores: [
      '**/lib/**',
      '**/dist/**',
      'target/**',
      '**/*_pb.ts',
      '**/node_modules/**',
    ],
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/**/*.ts'],
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
        {
          considerDefaultExhaustiveForUnions: false,
          allowDefaultCaseForExhaustiveSwitch: false,
        },
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
    },
  },
  ...arrowBlocks,
  ...longListBlocks,
  {
    files: CLASS_FILES,
    rules: {'no-restricted-syntax': ['error', ...BARRED_SYNTAX]},
  },
  {
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...BARRED_SYNTAX,
        BARRED_CLASSES,
        BARRED_SPREAD,
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs'],
    rules: {'no-restricted-syntax': ['error', ...BARRED_SYNTAX]},
  },
);
