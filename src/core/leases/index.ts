/**
 * The duties of a node. They share one lease, so the number of calls to renew it
 * does not depend on the number of duties.
 */
import Emittery from 'emittery'
import { createDurableWriter } from '../platform/durable-write/index.ts'
import { createDuty } from './duty.ts'
import { createNodeLease } from './node-lease.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { Duties, Duty, DutyChange, DutyEvents } from './types.ts'

export { readDutyHolder } from './duty.ts'
export type * from './types.ts'

/** Options of a node's duties. Times that are omitted have defaults. */
export interface DutiesOptions {
  store: KeyValueStore
  clock: Clock
  log: Log
  node: NodeId
  /** Whether this node should hold a duty now, for example by its rank among the live nodes. */
  shouldHold: (duty: string) => boolean
  ttlMs?: number
  marginMs?: number
  renewIntervalMs?: number
  campaignIntervalMs?: number
  yieldAfterMs?: number
  maxOrderMs?: number
}

const defaults = {
  ttlMs: 20_000,
  marginMs: 3_000,
  renewIntervalMs: 6_000,
  campaignIntervalMs: 5_000,
  yieldAfterMs: 30_000,
  maxOrderMs: 5_000
} as const

/** Interval at which the due time of the renewal is checked while a duty is held, and at which a new duty is noticed. */
const renewCheckIntervalMs = 500
const idleCheckIntervalMs = 1_000
const dutyPrefix = 'duties/'
const barrierPrefix = 'barriers/duties/'

/** Creates a node's duties; the key-value service is not called before `campaign` is. */
export function createDuties (options: DutiesOptions): Duties {
  const { store, clock, log, node } = options
  const times = { ...defaults, ...givenTimes(options) }
  const closed = new AbortController()
  const events = new Emittery<DutyEvents>()
  const duties = new Map<string, Duty>()
  const lease = createNodeLease({ store, clock, ttlMs: times.ttlMs, marginMs: times.marginMs, renewIntervalMs: times.renewIntervalMs })
  const writer = createDurableWriter({ store, clock, barrierKey: barrierPrefix + node, barrierLease: lease.acquire })

  function held (): DutyChange[] {
    return [...duties.values()].flatMap(duty => {
      const fencingNumber = duty.fencingNumber()
      return fencingNumber === undefined ? [] : [{ duty: duty.name, fencingNumber }]
    })
  }

  /** Renews the lease while a duty is held; without one the lease expires. */
  async function renewLease (): Promise<void> {
    while (!closed.signal.aborted) {
      await clock.sleep(held().length > 0 ? renewCheckIntervalMs : idleCheckIntervalMs, closed.signal)
      if (held().length > 0) await lease.renew()
    }
  }

  function campaign (name: string): Duty {
    const known = duties.get(name)
    if (known !== undefined) return known
    const duty = createDuty({
      ...times,
      name,
      key: dutyPrefix + name,
      node,
      store,
      writer,
      lease,
      clock,
      shouldHold: () => options.shouldHold(name),
      onTaken: change => {
        log('dutyTaken', { ...change })
        events.emit('taken', change)
      },
      onLost: change => {
        log('dutyLost', { ...change })
        events.emit('lost', change)
      }
    })
    const registered: Duty = {
      ...duty,
      close: async () => {
        duties.delete(name)
        await duty.close()
      }
    }
    duties.set(name, registered)
    return registered
  }

  const renewing = renewLease()
  return {
    campaign,
    held,
    events,
    close: async () => {
      closed.abort()
      await Promise.all([...duties.values()].map(duty => duty.close()))
      await renewing
      await lease.release()
    }
  }
}

/** The times that are set in the options. */
function givenTimes (options: DutiesOptions): Partial<Record<keyof typeof defaults, number>> {
  const names = Object.keys(defaults) as Array<keyof typeof defaults>
  return Object.fromEntries(names.flatMap(name => options[name] === undefined ? [] : [[name, options[name]]]))
}
