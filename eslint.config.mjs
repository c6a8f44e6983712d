import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import jsdoc from 'eslint-plugin-jsdoc';

/**
 * The layers above base and services, from the bottom up: subsystems, then programs. A layer
 * imports only from lower layers, and subsystems do not import each other.
 */
const SUBSYSTEMS = ['entry', 'intake', 'scheduler', 'operator', 'peers'];
const PROGRAMS = ['daemon', 'cli'];

const forbidden = (target, from, message) => ({ target, from, message });

const layerZones = [
  forbidden(
    './src/base',
    ['./src/services', ...[...SUBSYSTEMS, ...PROGRAMS].map((name) => `./src/${name}`)],
    'base imports nothing of the layers above it',
  ),
  forbidden(
    './src/services',
    [...SUBSYSTEMS, ...PROGRAMS].map((name) => `./src/${name}`),
    'services imports nothing of subsystems or programs',
  ),
  ...SUBSYSTEMS.map((name) =>
    forbidden(
      `./src/${name}`,
      [...SUBSYSTEMS.filter((other) => other !== name), ...PROGRAMS].map(
        (other) => `./src/${other}`,
      ),
      'subsystems import neither one another nor programs',
    ),
  ),
  forbidden(
    ['./src/**/common/**', './src/**/node/**'],
    ['./standIns', './bench'],
    'the product imports no stand-ins',
  ),
  forbidden('./src', './platform', 'the product knows nothing of the adapter'),
];

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    plugins: { jsdoc },
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: layerZones }],
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/order': 'off',
      'import-x/no-rename-default': 'off',
      // A small class may be in the same file as the class that uses it.
      'max-classes-per-file': 'off',
      // `no-floating-promises` requires `void` before a promise that is not awaited.
      'no-void': 'off',
      'no-underscore-dangle': ['error', { allow: ['_tag'] }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      // A type has the same name as the constant that it is derived from.
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      // A class without state still has to implement the methods of its interface.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      'jsdoc/require-file-overview': 'off',
    },
  },
  {
    // Code in common/ only makes decisions: it uses no sockets, files, timers or clocks.
    files: ['src/**/common/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: ['node:*'], message: 'common/ is free of input and output' },
            { group: ['**/node/**'], message: 'common/ imports nothing from node/' },
            { group: ['undici', 'fastify', 'consola', 'citty'], message: 'belongs in node/' },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'process',
        'performance',
        'fetch',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'time is an argument' },
        { object: 'Math', property: 'random', message: 'randomness is an argument' },
      ],
    },
  },
  {
    // Records of thousands of tasks are changed in place. Copying them would use the processor
    // time that is needed for a hundred starts a second.
    files: [
      'src/scheduler/common/fleet/**/*.ts',
      'src/scheduler/test/fleet/**/*.ts',
      'bench/fleet/**/*.ts',
    ],
    rules: { 'no-param-reassign': ['error', { props: false }] },
  },
  {
    files: ['tools/**/*.mjs', 'tools/**/*.cjs'],
    rules: {
      // A loader that starts a bundle is CommonJS, and may block because it has no other work.
      '@typescript-eslint/no-require-imports': 'off',
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'no-console': 'off',
      // Build and check tools are not part of the product, so they may use development packages.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['*.config.ts', '*.config.mjs', '**/test/**/*.ts'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-default-export': 'off',
    },
  },
];
