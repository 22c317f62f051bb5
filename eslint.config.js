import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist', 'target', 'reports', '.cache'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }]
    }
  }
]
