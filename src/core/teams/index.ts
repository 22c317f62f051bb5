/** What the operators declared for the teams. */
export type * from './types.ts'
