/**
 * The platform's key-value service: its functions, a client over HTTP and one
 * in memory.
 */
export type * from './types.ts'
export { maxValueBytes } from './types.ts'
export { createMemoryKeyValue } from './memory/index.ts'
export type { MemoryClient, MemoryKeyValue, MemoryKeyValueOptions } from './memory/index.ts'
export { createHttpKeyValue } from './http/index.ts'
export type { HttpKeyValueOptions } from './http/index.ts'
