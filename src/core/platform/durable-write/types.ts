/**
 * Types of writes to the key-value service whose outcome is determined reliably,
 * also when responses are lost or requests are delayed.
 */
import type { LeaseId } from '../../ids/index.ts'
import type { KeyValueEntry, KeyValueError } from '../key-value/types.ts'

/** One compare-and-swap of one key. */
export interface DurableWrite {
  key: string
  /** Modification revision that the key must have; 0 if it must be absent. */
  expectedRevision: number
  /** Value to write. It contains a unique write id, so that it differs from every other value of the key. */
  value: string
  /** Whether a value was written by this write, by its write id. */
  isOwn: (value: string) => boolean
  leaseId?: LeaseId
  deadlineAtMs: number
}

/** Outcome of a write. */
export type DurableOutcome =
  /** The write took effect, and the key still had its value when last read. `revision` is the modification revision. */
  | { kind: 'committed', revision: number }
  /** The key has the value of another write. This write may have taken effect before it, and can't take effect any more. */
  | { kind: 'superseded', current: KeyValueEntry | undefined }
  /** The write had no effect and can't take effect any more. `current` is the key's entry, if it was read. */
  | { kind: 'not-applied', cause: 'conflict' | 'unavailable', current: KeyValueEntry | undefined }
  /** The service refuses the write permanently, for example because of its size. */
  | { kind: 'rejected', error: KeyValueError }
  /** The outcome could not be determined before the deadline. `resolveOutcome` determines it later. */
  | { kind: 'undecided' }

/** Makes writes and determines their outcome. */
export interface DurableWriter {
  write: (write: DurableWrite) => Promise<DurableOutcome>
  /** Determines the outcome of an undecided write before a new deadline. It doesn't send the write again. */
  resolveOutcome: (write: DurableWrite, deadlineAtMs: number) => Promise<DurableOutcome>
}
