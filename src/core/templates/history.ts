/** History of each declaration: its last writes, stored under a key of their own and written in the same transaction as the declaration. */
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import { configurationPrefix } from '../configuration/index.ts'
import type { WriteId } from '../ids/index.ts'
import type { DeclaredValue } from '../configuration/index.ts'
import type { KeyValueEntry } from '../platform/key-value/types.ts'
import type { HistoryEntry } from './types.ts'

/** Largest number of writes in the history of one key. */
export const maxHistoryEntries = 20

/** Largest size of the history of one key. The oldest writes are dropped first. */
const maxHistoryBytes = 512 * 1024

/** Key prefix of histories. It is outside of `config/`, so that histories aren't replicated to the nodes. */
const historyPrefix = 'history/'

const historySchema = z.array(z.object({
  writeId: z.string().transform(text => toId<WriteId>(text)),
  by: z.string(),
  atMs: z.number(),
  /** Revision of the value that this write replaced; 0 when the key was absent. */
  replacedRevision: z.number(),
  content: z.unknown()
}))

type StoredEntry = z.output<typeof historySchema>[number]

/** Returns the key under which the history of a declaration's key is stored. */
export function historyKeyOf (key: string): string {
  return historyPrefix + key.slice(configurationPrefix.length)
}

function parseStoredEntries (entry: KeyValueEntry | undefined): StoredEntry[] {
  if (entry === undefined) return []
  try {
    return historySchema.safeParse(JSON.parse(entry.value)).data ?? []
  } catch {
    // A value that is not JSON was not written by a node or the command line.
    return []
  }
}

/** Parses the history of a key, newest write first. A write's revision isn't stored: it is the revision that the next write replaced. */
export function parseHistory (entry: KeyValueEntry | undefined): HistoryEntry[] {
  const stored = parseStoredEntries(entry)
  return stored.map(({ writeId, by, atMs, replacedRevision, content }, index) => {
    const revision = index === 0 ? entry!.modRevision : stored[index - 1]!.replacedRevision
    return { writeId, by, atMs, revision, replacedRevision, content }
  })
}

/** Renders a history with one more write. Drops the oldest writes until it is within the count and size bounds. */
export function renderHistory (before: KeyValueEntry | undefined, write: DeclaredValue<unknown>, replacedRevision: number): string {
  const { writeId, by, atMs, content } = write
  let entries = [{ writeId, by, atMs, replacedRevision, content }, ...parseStoredEntries(before)].slice(0, maxHistoryEntries)
  let text = JSON.stringify(entries)
  while (Buffer.byteLength(text) > maxHistoryBytes && entries.length > 1) {
    entries = entries.slice(0, -1)
    text = JSON.stringify(entries)
  }
  return text
}
