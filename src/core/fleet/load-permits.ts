/**
 * A semaphore for loads from the rate-limited weight store. Its permits are kept
 * in one value of the key-value service, so that the fleets of all teams share
 * them. Acquiring and releasing are idempotent by the name of the holder, so a
 * call whose response was lost can be repeated.
 */
import type { Result } from 'true-myth'
import { err, ok } from 'true-myth/result'
import { z } from 'zod'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import { createError } from '../errors/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { LoadPermits } from './types.ts'

/** Number of attempts to change the value before the call fails. */
const maxAttempts = 5
const permitsSchema = z.array(z.object({ holder: z.string(), untilMs: z.number() }))
type Permit = z.infer<typeof permitsSchema>[number]

/** Options of the permits for one weight store. */
export interface LoadPermitsOptions {
  clock: Clock
  store: KeyValueStore
  /** Key of the value that contains the permits. */
  key: string
  /** Number of loads that the weight store can serve at the same time at a useful speed. */
  maxConcurrent: number
}

function parse (value: string | undefined): Permit[] {
  if (value === undefined) return []
  try {
    return permitsSchema.safeParse(JSON.parse(value)).data ?? []
  } catch {
    // A value that is not JSON holds no permits; the next writer replaces it.
    return []
  }
}

/** Creates the functions that acquire and release permits. */
export function createLoadPermits (options: LoadPermitsOptions): LoadPermits {
  const { clock, store, key, maxConcurrent } = options

  /** Changes the value by compare-and-swap, with retries when another writer came first; undefined leaves it unchanged. */
  async function update (change: (permits: Permit[]) => Permit[] | undefined, deadlineAtMs: number): Promise<Result<void, CyclamenError>> {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const read = await store.get(key, { deadlineAtMs })
      if (read.isErr) return err(read.error)
      const { entry } = read.value
      const current = parse(entry?.value).filter(({ untilMs }) => untilMs > clock.wallMs())
      const changed = change(current)
      if (changed === undefined) return ok(undefined)
      const written = await store.transact({
        compares: [{ key, modRevision: entry?.modRevision ?? 0 }],
        puts: [{ key, value: JSON.stringify(changed) }],
        deletes: []
      }, { deadlineAtMs })
      if (written.isErr) return err(written.error)
      if (written.value.applied) return ok(undefined)
    }
    const cause = 'other nodes changed the value during each attempt'
    return err(createError('PlatformCallFailed', { service: 'key-value service', operation: key, cause }))
  }

  async function acquire (holder: string, untilMs: number, deadlineAtMs: number): Promise<Result<boolean, CyclamenError>> {
    let taken = false
    const result = await update(permits => {
      taken = permits.some(permit => permit.holder === holder)
      if (taken || permits.length >= maxConcurrent) return undefined
      taken = true
      return [...permits, { holder, untilMs }]
    }, deadlineAtMs)
    return result.map(() => taken)
  }

  async function release (holder: string, deadlineAtMs: number): Promise<Result<void, CyclamenError>> {
    return await update(permits => {
      const remaining = permits.filter(permit => permit.holder !== holder)
      return remaining.length === permits.length ? undefined : remaining
    }, deadlineAtMs)
  }

  return { acquire, release }
}
