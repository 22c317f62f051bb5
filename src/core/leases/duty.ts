/**
 * A duty is a key under the lease of its holder. The revision of the write that
 * created the key is the fencing number, so it increases with every holder, also
 * when the service was restored from an older copy: a revision contains its era.
 */
import { createId, toId } from '../ids/index.ts'
import { eraOf } from '../platform/key-value/revision.ts'
import type { Clock } from '../clock/index.ts'
import type { LeaseId, NodeId, WriteId } from '../ids/index.ts'
import type { DurableWriter } from '../platform/durable-write/index.ts'
import type { KeyValueEntry, KeyValueStore } from '../platform/key-value/types.ts'
import type { NodeLease } from './node-lease.ts'
import type { Duty, DutyChange, OrderWindow } from './types.ts'

/** Options of a duty. */
export interface DutyOptions {
  name: string
  key: string
  node: NodeId
  store: KeyValueStore
  writer: DurableWriter
  lease: NodeLease
  clock: Clock
  /** Whether this node should hold the duty now. */
  shouldHold: () => boolean
  /** Interval at which the key of a duty is checked that this node should hold but does not. */
  campaignIntervalMs: number
  /** Time after which this node resigns from a duty that it should not hold any more. */
  yieldAfterMs: number
  /** Longest time that an order of a holder takes. */
  maxOrderMs: number
  onTaken: (change: DutyChange) => void
  onLost: (change: DutyChange) => void
}

/** Value of the key of a duty. */
interface DutyValue {
  holder: NodeId
  writeId: WriteId
}

interface Held {
  revision: number
  leaseId: LeaseId
  takenAtMs: number
}

/** Interval at which the state of a duty is checked. */
const checkIntervalMs = 1_000
const callTimeoutMs = 2_000

function parseValue (value: string): Partial<DutyValue> {
  try {
    return JSON.parse(value) as Partial<DutyValue> | null ?? {}
  } catch {
    // A value that is not JSON was not written by a node.
    return {}
  }
}

/** Returns the holder that the value of a duty's key names. */
export function readDutyHolder (value: string): NodeId | undefined {
  const { holder } = parseValue(value) as { holder?: unknown }
  return typeof holder === 'string' ? toId<NodeId>(holder) : undefined
}

/** Starts to campaign for a duty. */
export function createDuty (options: DutyOptions): Duty {
  const { name, key, store, lease, clock } = options
  const closed = new AbortController()
  const ownWrites = new Set<WriteId>()
  let held: Held | undefined
  let lastHeldEra = 0
  /** Revision of the key that this node still has to delete after it resigned. */
  let resignedRevision: number | undefined
  let nextCampaignAtMs = clock.monotonicMs()
  let shouldNotHoldSinceMs: number | undefined
  const running = run()

  function fencingNumber (): number | undefined {
    return held !== undefined && lease.current() === held.leaseId && eraOf(held.revision) === store.era() ? held.revision : undefined
  }

  function orderWindow (checksFencing: boolean): OrderWindow | undefined {
    const currentNumber = fencingNumber()
    if (held === undefined || currentNumber === undefined) return undefined
    const mustWait = !checksFencing && clock.monotonicMs() < held.takenAtMs + options.maxOrderMs
    if (mustWait) return undefined
    return { fencingNumber: currentNumber, deadlineAtMs: Math.min(lease.validUntilMs(), clock.wallMs() + options.maxOrderMs) }
  }

  function isOwn ({ value }: Pick<KeyValueEntry, 'value'>): boolean {
    const { writeId } = parseValue(value)
    return writeId !== undefined && ownWrites.has(writeId)
  }

  function hold (revision: number, leaseId: LeaseId): void {
    held = { revision, leaseId, takenAtMs: clock.monotonicMs() }
    lastHeldEra = eraOf(revision)
    shouldNotHoldSinceMs = undefined
    if (fencingNumber() === undefined) held = undefined
    else options.onTaken({ duty: name, fencingNumber: revision })
  }

  function lose (): void {
    if (held === undefined) return
    const { revision } = held
    held = undefined
    options.onLost({ duty: name, fencingNumber: revision })
  }

  /** Reads the key if that is due, and acquires the duty if the key does not exist. */
  async function campaign (): Promise<void> {
    if (!options.shouldHold() || clock.monotonicMs() < nextCampaignAtMs) return
    nextCampaignAtMs = clock.monotonicMs() + options.campaignIntervalMs
    const read = await store.get(key, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    if (read.isErr) return
    const { entry } = read.value
    if (entry === undefined) return await acquire(0)
    if (!isOwn(entry)) return
    const leaseId = lease.current()
    // An own write whose outcome was unknown has succeeded.
    if (leaseId !== undefined && entry.leaseId === leaseId) hold(entry.modRevision, leaseId)
    // The key was restored from an older copy of the service, with a lease that this node no longer relies on.
    else if (eraOf(entry.modRevision) > lastHeldEra) await acquire(entry.modRevision)
  }

  /** Writes the key under the lease, with a new fencing number. */
  async function acquire (expectedRevision: number): Promise<void> {
    const leaseId = await lease.acquire()
    if (leaseId === undefined) return
    const writeId = createId<WriteId>('duty', clock.wallMs())
    ownWrites.add(writeId)
    const value: DutyValue = { holder: options.node, writeId }
    const outcome = await options.writer.write({
      key,
      expectedRevision,
      value: JSON.stringify(value),
      isOwn: text => parseValue(text).writeId === writeId,
      leaseId,
      deadlineAtMs: clock.wallMs() + callTimeoutMs
    })
    if (outcome.kind === 'committed') hold(outcome.revision, leaseId)
    else if (outcome.kind === 'rejected') lease.invalidate()
    if (outcome.kind !== 'committed' && outcome.kind !== 'undecided') ownWrites.delete(writeId)
  }

  /** Detects the loss of the lease, and resigns once this node should not have held the duty for a while. */
  async function checkHeld (): Promise<void> {
    if (fencingNumber() === undefined) return lose()
    if (options.shouldHold()) {
      shouldNotHoldSinceMs = undefined
      return
    }
    shouldNotHoldSinceMs ??= clock.monotonicMs()
    if (clock.monotonicMs() - shouldNotHoldSinceMs >= options.yieldAfterMs) await resign()
  }

  async function resign (): Promise<void> {
    resignedRevision = fencingNumber()
    lose()
    await deleteResignedKey()
  }

  /** Deletes the key after a resignation; called again until the service responds. */
  async function deleteResignedKey (): Promise<void> {
    if (resignedRevision === undefined) return
    const compares = [{ key, modRevision: resignedRevision }]
    const response = await store.transact({ compares, puts: [], deletes: [key] }, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    if (response.isOk) resignedRevision = undefined
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      if (resignedRevision !== undefined) await deleteResignedKey()
      else if (held !== undefined) await checkHeld()
      else await campaign()
      await clock.sleep(checkIntervalMs, closed.signal)
    }
  }

  async function close (): Promise<void> {
    closed.abort()
    await running
    await resign()
  }

  return {
    name,
    fencingNumber,
    guard: () => {
      const modRevision = fencingNumber()
      return modRevision === undefined ? undefined : { key, modRevision }
    },
    orderWindow,
    close
  }
}
