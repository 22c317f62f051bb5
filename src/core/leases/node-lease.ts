/**
 * The lease of a node. The node relies on it only while it is certainly valid by
 * the node's own clocks, counted from the time before the request to the service.
 */
import type { Clock } from '../clock/index.ts'
import type { LeaseId } from '../ids/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'

/** Options of a node's lease. */
export interface NodeLeaseOptions {
  store: KeyValueStore
  clock: Clock
  /** Time to live of the lease in the key-value service. */
  ttlMs: number
  /** Time before the expiry at which the node stops relying on the lease. */
  marginMs: number
  /** Interval at which the lease is renewed. */
  renewIntervalMs: number
}

/** The lease of a node, which is requested when it is needed. */
export interface NodeLease {
  /** The lease while it is certainly valid. */
  current: () => LeaseId | undefined
  /** Wall time until which the lease is certainly valid; 0 without a lease. */
  validUntilMs: () => number
  /** Returns the lease, or requests one; undefined when the service grants none. */
  acquire: () => Promise<LeaseId | undefined>
  /** Renews the lease if its renewal is due. */
  renew: () => Promise<void>
  /** Drops a lease that the service does not know any more. */
  invalidate: () => void
  /** Revokes the lease, which deletes all keys under it. */
  release: () => Promise<void>
}

interface Held {
  leaseId: LeaseId
  /** Era of the service that granted it; a restore may have undone the grant. */
  era: number
  validUntilMonotonicMs: number
  validUntilWallMs: number
  renewAtMonotonicMs: number
}

interface Moment {
  monotonicMs: number
  wallMs: number
  era: number
}

const callTimeoutMs = 2_000
/** Time between a failed renewal and the next one. */
const renewRetryIntervalMs = 1_000

/** Creates a node's lease; the service is not called before `acquire` is. */
export function createNodeLease (options: NodeLeaseOptions): NodeLease {
  const { store, clock } = options
  let held: Held | undefined

  /** The monotonic clock may stop while the machine is suspended, and the wall clock may jump, so both must confirm the lease. */
  function current (): LeaseId | undefined {
    if (held === undefined) return undefined
    const isValid = clock.monotonicMs() < held.validUntilMonotonicMs && clock.wallMs() < held.validUntilWallMs && store.era() === held.era
    // Once a lease may have ended, it is never used again.
    if (!isValid) held = undefined
    return held?.leaseId
  }

  function hold (leaseId: LeaseId, requestedAt: Moment): void {
    const validMs = options.ttlMs - options.marginMs
    held = {
      leaseId,
      era: requestedAt.era,
      validUntilMonotonicMs: requestedAt.monotonicMs + validMs,
      validUntilWallMs: requestedAt.wallMs + validMs,
      renewAtMonotonicMs: requestedAt.monotonicMs + options.renewIntervalMs
    }
  }

  function readClocks (): Moment {
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs(), era: store.era() }
  }

  async function acquire (): Promise<LeaseId | undefined> {
    const known = current()
    if (known !== undefined) return known
    const requestedAt = readClocks()
    // If the response to a grant is lost, a lease without keys remains in the service until it expires.
    const granted = await store.grantLease(options.ttlMs / 1000, { deadlineAtMs: requestedAt.wallMs + callTimeoutMs })
    if (granted.isErr) return undefined
    if (current() === undefined) hold(granted.value, requestedAt)
    return current()
  }

  async function renew (): Promise<void> {
    const leaseId = current()
    if (leaseId === undefined || held === undefined || clock.monotonicMs() < held.renewAtMonotonicMs) return
    const requestedAt = readClocks()
    const renewed = await store.keepAlive(leaseId, { deadlineAtMs: requestedAt.wallMs + callTimeoutMs })
    if (current() !== leaseId) return
    if (renewed.isErr) held.renewAtMonotonicMs = requestedAt.monotonicMs + renewRetryIntervalMs
    else if (renewed.value) hold(leaseId, requestedAt)
    else held = undefined
  }

  async function release (): Promise<void> {
    const leaseId = current()
    held = undefined
    if (leaseId !== undefined) await store.revokeLease(leaseId, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
  }

  return {
    current,
    validUntilMs: () => current() === undefined ? 0 : held?.validUntilWallMs ?? 0,
    acquire,
    renew,
    invalidate: () => { held = undefined },
    release
  }
}
