/**
 * Failure detection after SWIM (Das, Gupta, Motivala 2002): one probe a period,
 * to the peers in a shuffled round (section 4.3), through a few others when it
 * isn't answered (section 3.1), and suspicion before a node is taken for dead (section 4.2).
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
  /** Takes records in that came with an answer. */
  merge: (records: MemberRecord[]) => void
  /** Dead nodes that may be back, such as those the instance list still shows. */
  mayBeBack: (record: MemberRecord) => boolean
}

/** The probing side of one node. */
export interface Prober {
  /** Probes one peer and ages suspicions. `pausedMs` is how long this node itself stood still before. */
  runPeriod: (pausedMs: number) => Promise<void>
}

/** Picks up to `count` different items. */
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

/** The prober of one node, with the handlers of its messages. */
export function createProber (options: ProberOptions): Prober {
  const { table, network, clock, bounds, random, merge } = options
  const suspectedAtMs = new Map<NodeId, number>()
  let round: NodeId[] = []
  let periods = 0

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
    const answer = await network.request(to, 'membership/ping', body, clock.wallMs() + timeoutMs)
    if (answer.isErr) return false
    merge(fromWire(answer.value))
    return true
  }

  async function pingThroughOthers (target: MemberRecord): Promise<boolean> {
    const helpers = others().filter(record => record.status === 'alive' && record.address.node !== target.address.node)
    const deadlineAtMs = clock.wallMs() + bounds.indirectTimeoutMs
    const answers = await Promise.all(sample(helpers, bounds.indirectProbes, random).map(async helper => {
      const answer = await network.request(helper.address, 'membership/probe', toWire(target), deadlineAtMs)
      return answer.unwrapOr(false) === true
    }))
    return answers.includes(true)
  }

  function suspect (target: MemberRecord): void {
    const known = table.get(target.address.node)
    if (known === undefined || known.status !== 'alive' || known.incarnation > target.incarnation) return
    merge([{ ...known, status: 'suspect' }])
  }

  async function probe (target: MemberRecord): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    if (await ping(target.address, bounds.pingTimeoutMs)) return
    if (await pingThroughOthers(target)) return
    const tookMs = clock.monotonicMs() - startedAtMs
    // A node that stood still itself can't tell whether the answer came in time.
    if (tookMs > 2 * bounds.periodMs) return
    suspect(target)
  }

  function ageSuspicions (pausedMs: number): void {
    const nowMs = clock.monotonicMs()
    const limitMs = suspicionPeriods(table.all().length) * bounds.periodMs
    for (const record of others()) {
      const node = record.address.node
      if (record.status !== 'suspect') {
        suspectedAtMs.delete(node)
        continue
      }
      const sinceMs = (suspectedAtMs.get(node) ?? nowMs) + pausedMs
      suspectedAtMs.set(node, sinceMs)
      if (nowMs - sinceMs >= limitMs) merge([{ ...record, status: 'dead' }])
    }
  }

  async function greetDead (): Promise<void> {
    const dead = others().filter(record => record.status === 'dead' && options.mayBeBack(record))
    const [target] = sample(dead, 1, random)
    if (target !== undefined) await ping(target.address, bounds.pingTimeoutMs)
  }

  async function runPeriod (pausedMs: number): Promise<void> {
    periods += 1
    ageSuspicions(pausedMs)
    const target = nextTarget()
    const greeting = periods % bounds.periodsPerRevival === 0 ? greetDead() : undefined
    if (target !== undefined) await probe(target)
    await greeting
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
