/**
 * Turns at the rate-limited weight store, kept in one value of the key-value
 * service, so that the fleets of all teams share them. A holder's name makes
 * taking and giving back idempotent, so a lost answer is mended by the next call.
 */
import type { Result } from 'true-myth'
import { err, ok } from 'true-myth/result'
import { z } from 'zod'
import type { Clock } from '../clock/index.ts'
import type { CyclamenError } from '../errors/index.ts'
import { createError } from '../errors/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { LoadTickets } from './types.ts'

const maxAttempts = 5
const ticketsSchema = z.array(z.object({ holder: z.string(), untilMs: z.number() }))
type Ticket = z.infer<typeof ticketsSchema>[number]

/** Options of the turns at one weight store. */
export interface LoadTicketsOptions {
  clock: Clock
  store: KeyValueStore
  /** Key of the value that holds the turns. */
  key: string
  /** Loads that the store serves together without slowing each other below use. */
  maxConcurrent: number
}

function parse (value: string | undefined): Ticket[] {
  if (value === undefined) return []
  const parsed = ticketsSchema.safeParse(JSON.parse(value))
  return parsed.success ? parsed.data : []
}

/** Creates the functions that take and give back turns. */
export function createLoadTickets (options: LoadTicketsOptions): LoadTickets {
  const { clock, store, key, maxConcurrent } = options

  /** Changes the value until no other writer comes between; undefined leaves it as it is. */
  async function update (change: (tickets: Ticket[]) => Ticket[] | undefined, deadlineAtMs: number): Promise<Result<void, CyclamenError>> {
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
    const cause = 'other writers came between each time'
    return err(createError('PlatformCallFailed', { service: 'key-value service', operation: key, cause }))
  }

  async function take (holder: string, untilMs: number, deadlineAtMs: number): Promise<Result<boolean, CyclamenError>> {
    let taken = false
    const result = await update(tickets => {
      taken = tickets.some(ticket => ticket.holder === holder)
      if (taken || tickets.length >= maxConcurrent) return undefined
      taken = true
      return [...tickets, { holder, untilMs }]
    }, deadlineAtMs)
    return result.map(() => taken)
  }

  async function giveBack (holder: string, deadlineAtMs: number): Promise<Result<void, CyclamenError>> {
    return await update(tickets => {
      const rest = tickets.filter(ticket => ticket.holder !== holder)
      return rest.length === tickets.length ? undefined : rest
    }, deadlineAtMs)
  }

  return { take, giveBack }
}
