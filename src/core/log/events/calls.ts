import type { LogEventDefinition } from './types.ts'

/** Log events 300 to 399: at-most-once calls. */
export const callEvents = {
  callUnknown: { number: 300, level: 'warn', text: 'It is unknown whether a call was executed.', remedy: 'Look up the call at its backend server.' },
  shardTaken: { number: 301, level: 'info', text: 'This node became the owner of a shard of calls.', remedy: 'none' },
  shardLost: { number: 302, level: 'info', text: 'Another node became the owner of a shard of calls that this node owned.', remedy: 'none' },
  claimsRefused: { number: 303, level: 'warn', text: 'Calls of a shard are refused because claims can\'t be written to the key-value service.', remedy: 'Check the key-value service; calls are accepted again as soon as it responds.' },
  claimsTaken: { number: 304, level: 'info', text: 'Calls of a shard are accepted again.', remedy: 'none' },
  journalUnreadable: { number: 305, level: 'error', text: 'The journal of a shard of calls can\'t be read.', remedy: 'Restore the value that the event names; until then, calls of the shard are refused.' }
} satisfies Record<string, LogEventDefinition>
