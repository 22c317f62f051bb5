/**
 * Failure detection as in SWIM (Das, Gupta, Motivala 2002): one probe per period, with
 * targets in shuffled round-robin order (section 4.3), indirect probes through a few
 * other members if there is no response (section 3.1), and suspicion before a node is
 * declared dead (section 4.2).
 */
import { fromWire, toWire } from './records.ts'
import { suspicionPeriods } from './bounds.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { MembershipBounds } from './bounds.ts'
import type { MemberTable } from './table.ts'
import type { MemberRecord } from './types.ts'

/** Options of a prober. */
export interface ProberOptions {
  table: MemberTable
  network: PeerNetwork
  clock: Clock
  bounds: MembershipBounds
  random: () => number
  /** Merges records that were received. */
  merge: (records: MemberRecord[]) => void
  /** Whether a dead node may have returned, for example because it is still in the instance list. */
  mayHaveReturned: (record: MemberRecord) => boolean
}

/** The failure detector of one node. */
export interface Prober {
  /** Runs one protocol period: expires suspicions and probes one peer. `pausedMs` is the time for which this process was paused before. */
  runPeriod: (pausedMs: number) => Promise<void>
}

/** Picks up to `count` distinct items at random. */
export function sample<Item> (items: Item[], count: number, random: () => number): Item[] {
  const pool = [...items]
  const picked: Item[] = []
  while (picked.length < count && pool.length > 0) {
    const index = Math.floor(random() * pool.length)
    picked.push(pool[index]!)
    pool[index] = pool[pool.length - 1]!
    pool.pop()
  }
  return picked
}

/** Creates the prober of one node and registers the handlers of its messages. */
export function createProber (options: ProberOptions): Prober {
  const { table, network, clock, bounds, random, merge } = options
  const suspectedAtMs = new Map<NodeId, number>()
  /** The nodes still to be probed in the current round. */
  let round: NodeId[] = []
  let periodCount = 0

  function others (): MemberRecord[] {
    return table.all().filter(record => record.address.node !== table.self().address.node)
  }

  function nextTarget (): MemberRecord | undefined {
    if (round.length === 0) {
      const probed = others().filter(record => record.status !== 'dead')
      round = sample(probed, probed.length, random).map(record => record.address.node)
    }
    const node = round.pop()
    const record = node === undefined ? undefined : table.get(node)
    return record?.status === 'dead' ? undefined : record
  }

  async function ping (to: PeerAddress, timeoutMs: number): Promise<boolean> {
    const body = table.recordsFor(to.node)
    const response = await network.request(to, 'membership/ping', body, clock.wallMs() + timeoutMs)
    if (response.isErr) return false
    merge(fromWire(response.value))
    return true
  }

  async function pingIndirectly (target: MemberRecord): Promise<boolean> {
    const helpers = others().filter(record => record.status === 'alive' && record.address.node !== target.address.node)
    const deadlineAtMs = clock.wallMs() + bounds.indirectTimeoutMs
    const responses = await Promise.all(sample(helpers, bounds.indirectProbeCount, random).map(async helper => {
      const response = await network.request(helper.address, 'membership/probe', toWire(target), deadlineAtMs)
      return response.unwrapOr(false) === true
    }))
    return responses.includes(true)
  }

  function suspect (target: MemberRecord): void {
    const known = table.get(target.address.node)
    if (known === undefined || known.status !== 'alive' || known.incarnation > target.incarnation) return
    merge([{ ...known, status: 'suspect' }])
  }

  async function probe (target: MemberRecord): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    if (await ping(target.address, bounds.pingTimeoutMs)) return
    if (await pingIndirectly(target)) return
    const elapsedMs = clock.monotonicMs() - startedAtMs
    // If this process was paused itself, the response may have arrived in time.
    if (elapsedMs > 2 * bounds.periodMs) return
    suspect(target)
  }

  function expireSuspicions (pausedMs: number): void {
    const nowMs = clock.monotonicMs()
    const suspicionMs = suspicionPeriods(table.all().length) * bounds.periodMs
    for (const record of others()) {
      const node = record.address.node
      if (record.status !== 'suspect') {
        suspectedAtMs.delete(node)
        continue
      }
      const sinceMs = (suspectedAtMs.get(node) ?? nowMs) + pausedMs
      suspectedAtMs.set(node, sinceMs)
      if (nowMs - sinceMs >= suspicionMs) merge([{ ...record, status: 'dead' }])
    }
  }

  async function probeDeadMember (): Promise<void> {
    const dead = others().filter(record => record.status === 'dead' && options.mayHaveReturned(record))
    const [target] = sample(dead, 1, random)
    if (target !== undefined) await ping(target.address, bounds.pingTimeoutMs)
  }

  async function runPeriod (pausedMs: number): Promise<void> {
    periodCount += 1
    expireSuspicions(pausedMs)
    const target = nextTarget()
    const deadProbe = periodCount % bounds.periodsPerDeadProbe === 0 ? probeDeadMember() : undefined
    if (target !== undefined) await probe(target)
    await deadProbe
  }

  network.handle('membership/ping', (from, body) => {
    merge(fromWire(body))
    return table.recordsFor(from)
  })
  network.handle('membership/probe', async (_from, body) => {
    const [target] = fromWire([body])
    return target !== undefined && await ping(target.address, bounds.pingTimeoutMs)
  })

  return { runPeriod }
}
