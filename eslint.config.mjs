import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** A layer may import only from the layers that stand further in. */
function forbidImports(files, folders) {
  return {
    files,
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: folders.map((folder) => ({
            group: [`**/${folder}/**`],
            message: `${folder} stands outside this layer`,
          })),
        },
      ],
    },
  };
}

export default [
  { ignores: ['node_modules', 'build', 'build-*', 'dist', '.tap', 'reports', 'target', 'journal'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        Buffer: 'readonly',
        URL: 'readonly',
        setTimeout: 'readonly',
        clearTimeout: 'readonly',
        setInterval: 'readonly',
        clearInterval: 'readonly',
        setImmediate: 'readonly',
        AbortController: 'readonly',
        fetch: 'readonly',
      },
      parserOptions: { projectService: { allowDefaultProject: ['*.mjs', 'scripts/*.mjs'] } },
    },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    rules: {
      'max-lines': ['error', { max: 300 }],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      // The exceptions below are listed with their reasons in docs/NAMING.md.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-useless-path-segments': 'off',
      'import-x/no-cycle': ['error'],
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/consistent-type-specifier-style': 'off',
      'max-classes-per-file': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // tap hands each test its own `t`, which shadows the imported one.
      '@typescript-eslint/no-shadow': ['error', { allow: ['t'] }],
      'no-underscore-dangle': 'off',
      'no-await-in-loop': 'off',
      'no-console': 'error',
      '@typescript-eslint/naming-convention': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
    },
  },
  {
    // Seeded generators and hashes are made of bit operations.
    files: ['test/support/**', 'standin/**', 'src/domain/**'],
    rules: { 'no-bitwise': 'off' },
  },
  forbidImports(['src/domain/**'], ['ports', 'application', 'adapters', 'commands']),
  forbidImports(['src/ports/**'], ['application', 'adapters', 'commands']),
  forbidImports(['src/application/**'], ['adapters', 'commands']),
  forbidImports(['src/adapters/**'], ['commands']),
  forbidImports(['standin/**'], ['src']),
];
