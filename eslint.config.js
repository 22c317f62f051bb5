import neostandard from 'neostandard'
import regexp from 'eslint-plugin-regexp'

export default [
  ...neostandard({ ts: true, ignores: ['dist', 'target', 'reports', '.cache'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }]
    }
  },
  {
    // Patterns whose time grows faster than the text keep a node from answering anyone.
    files: ['src/**/*.ts', 'platform/**/*.ts', 'bench/**/*.ts'],
    plugins: { regexp },
    rules: {
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }]
    }
  }
]
