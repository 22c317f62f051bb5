import { defineError } from './types.ts'

/** Errors of at-most-once calls. */
export const callErrors = {
  IdempotencyKeyReused: defineError<{ key: string }>({
    title: 'Idempotency key reused',
    message: ({ key }) => `The idempotency key "${key}" was already used with a different body.`,
    hint: 'Use a new key for a new call; repeat a call with the same body.'
  }),
  JournalUnreadable: defineError<{ key: string }>({
    title: 'Call journal unreadable',
    message: ({ key }) => `The call journal "${key}" in the key-value service can't be parsed.`,
    hint: 'Restore the value, which another program has overwritten. Until then, calls of this shard are refused.'
  })
}
