/** The platform's key-value service: its interface, an HTTP client and an in-memory implementation. */
export type * from './types.ts'
export { maxValueBytes } from './types.ts'
export { createRevision, eraOf, revisionInEra } from './revision.ts'
export type { StoreRevision } from './revision.ts'
export { createMemoryKeyValue } from './memory/index.ts'
export type { MemoryClient, MemoryKeyValue, MemoryKeyValueOptions } from './memory/index.ts'
export { createHttpKeyValue } from './http/index.ts'
export type { HttpKeyValueOptions } from './http/index.ts'
