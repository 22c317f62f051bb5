/** What a node may conclude from the registrations of backend servers. */
export { createRegistrationProofs } from './proofs.ts'
export { createRegistrationTimes } from './times.ts'
export type * from './types.ts'
