/** Types of the teams' declarations. */
export type * from './types.ts'
