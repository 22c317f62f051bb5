/**
 * The shards that this node owns: taken when it should own them, given up when
 * another node has taken them.
 */
import { Result } from 'true-myth'
import { createCallTable } from './table.ts'
import { createCommitter } from './committer.ts'
import { createExecution } from './execution.ts'
import { openJournal } from './journal.ts'
import { outcomeKind, takenKind } from './messages.ts'
import { createOwnerEpoch } from './owner-epoch.ts'
import { takeShard } from './ownership.ts'
import { refuse } from './refusals.ts'
import { valueUntil } from './wait.ts'
import type { NodeId } from '../ids/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { AttemptOptions } from './attempt.ts'
import type { Candidates } from './candidates.ts'
import type { Committer } from './committer.ts'
import type { Execution } from './execution.ts'
import type { OutcomeMessage, TakenMessage } from './messages.ts'
import type { OwnerEpoch } from './owner-epoch.ts'
import type { OwnerValue, TakeFailure, TakenShard } from './ownership.ts'
import type { PauseWatch } from './pauses.ts'
import type { CallTable } from './table.ts'
import type { CallRecord, CallRequest, ServeResult } from './types.ts'

const repeatAfterMs = 1_000
const handOverTimeoutMs = 2_000
const handOverAttempts = 2

interface OwnedShard {
  table: CallTable
  committer: Committer
  ownerEpoch: OwnerEpoch
  execution: Execution
}

/** The shards of one node. */
export interface Shards {
  /** Runs a request if this node owns its shard or should own it. */
  serve: (shard: number, request: CallRequest) => Promise<ServeResult>
  /** Takes the shards that this node should own and doesn't. */
  takePreferred: () => Promise<void>
  owned: () => number[]
  handleTaken: (from: NodeId, message: TakenMessage) => void
  handleOutcome: (message: OutcomeMessage) => boolean
  /** Takes nothing more, and gives up what is owned once it has ended. */
  drain: (deadlineAtMs: number) => Promise<void>
  close: () => void
}

/** What the shards of a node need. */
export interface ShardsOptions extends AttemptOptions {
  membership: Membership
  network: PeerNetwork
  store: KeyValueStore
  candidates: Candidates
  pauses: PauseWatch
}

/** Creates the shards of a node, none of them owned yet. */
export function createShards (options: ShardsOptions): Shards {
  const { membership, network, store, candidates, pauses, clock, limits, metrics, log } = options
  const self = membership.self.node
  const owned = new Map<number, OwnedShard>()
  const taking = new Map<number, Promise<Result<OwnedShard, TakeFailure>>>()
  let draining = false

  function held (shard: number): OwnedShard | undefined {
    const found = owned.get(shard)
    return found === undefined || found.committer.state() === 'lost' ? undefined : found
  }

  function mayTakeFrom (owner: OwnerValue, unreachable: NodeId[]): boolean {
    if (owner.node === null || owner.node === self) return true
    if (unreachable.includes(owner.node) || membership.find(owner.node) === undefined) return true
    return owner.takenAtMs + limits.minTenureMs <= clock.wallMs()
  }

  function open (shard: number, taken: TakenShard, startedAtMs: number): OwnedShard {
    const table = createCallTable()
    let confirmedAtMs = startedAtMs
    const former = taken.previous?.node ?? null
    const journal = openJournal({ shard, epoch: taken.owner.epoch, table, maxSegmentBytes: limits.maxSegmentBytes }, taken.segments)
    const ownerEpoch = createOwnerEpoch({ shard, ownership: taken, store, clock, limits, onChange: journal.setEpoch })
    const committer = createCommitter({
      shard,
      ownerEpoch,
      journal,
      store,
      clock,
      limits,
      metrics,
      log,
      onConfirmed: atMs => { confirmedAtMs = atMs },
      onLost: () => { if (owned.get(shard)?.committer === committer) owned.delete(shard) }
    })
    const execution = createExecution({
      ...options,
      table,
      committer,
      trusted: () => committer.state() !== 'lost' && !pauses.pausedSince(confirmedAtMs),
      formerOwnerLives: () => former !== null && (former === self || membership.find(former) !== undefined),
      handOver: record => { handOver(shard, record, committer.holder()).catch(() => {}) }
    })
    metrics.count('calls_shards_taken_total')
    log('shardTaken', { shard, epoch: taken.owner.epoch, former })
    return { table, committer, ownerEpoch, execution }
  }

  async function take (shard: number, unreachable: NodeId[]): Promise<Result<OwnedShard, TakeFailure>> {
    const startedAtMs = clock.monotonicMs()
    const mayTake = (owner: OwnerValue): boolean => mayTakeFrom(owner, unreachable)
    const taken = await takeShard({ shard, self, store, clock, limits, mayTake })
    if (taken.isErr) return Result.err(taken.error)
    const opened = open(shard, taken.value, startedAtMs)
    owned.set(shard, opened)
    const former = taken.value.previous?.node ?? null
    const address = former === null ? undefined : membership.find(former)
    if (address !== undefined) network.send(address, takenKind, { shard, epoch: taken.value.owner.epoch })
    return Result.ok(opened)
  }

  /** A journal that can't be read leaves its shard without an owner, and the other shards alone. */
  function unreadable (shard: number, error: unknown): Result<OwnedShard, TakeFailure> {
    log('journalUnreadable', { shard, error: String(error) })
    return Result.err({ kind: 'unavailable' })
  }

  function takeOnce (shard: number, unreachable: NodeId[]): Promise<Result<OwnedShard, TakeFailure>> {
    const running = taking.get(shard)
    if (running !== undefined) return running
    const started = take(shard, unreachable)
      .catch((error: unknown) => unreadable(shard, error))
      .finally(() => { taking.delete(shard) })
    taking.set(shard, started)
    return started
  }

  async function serve (shard: number, request: CallRequest): Promise<ServeResult> {
    const present = draining ? undefined : held(shard)
    if (present !== undefined) return await present.execution.serve(request)
    const first = candidates.of(shard).find(node => !request.unreachable.includes(node))
    if (draining || first !== self) return { kind: 'moved', holder: draining ? undefined : first }
    const taken = await takeOnce(shard, request.unreachable)
    if (taken.isOk) return await taken.value.execution.serve(request)
    if (taken.error.kind === 'held') return { kind: 'moved', holder: taken.error.holder }
    const refusal = refuse('store-unavailable', 'unknown', 'store-unavailable-unknown', clock.wallMs() + repeatAfterMs)
    return { kind: 'refused', refusal }
  }

  async function takePreferred (): Promise<void> {
    for (let shard = 0; shard < limits.callShards; shard += 1) {
      const wanted = !draining && candidates.of(shard)[0] === self && held(shard) === undefined
      if (wanted) await takeOnce(shard, [])
    }
  }

  /** Tells the present owner an outcome; it stays unknown there when this fails. */
  async function handOver (shard: number, record: CallRecord, holder: NodeId | undefined): Promise<void> {
    const here = held(shard)
    if (here !== undefined && here.execution.acceptOutcome(record)) return
    const target = holder ?? candidates.of(shard).find(node => node !== self)
    const address = target === undefined ? undefined : membership.find(target)
    if (address === undefined) return
    for (let attempt = 1; attempt <= handOverAttempts; attempt += 1) {
      const sent = await network.request(address, outcomeKind, { shard, record }, clock.wallMs() + handOverTimeoutMs)
      if (sent.isOk) {
        metrics.count('calls_outcomes_handed_over_total', { taken: String(sent.value) })
        return
      }
    }
  }

  function handleTaken (from: NodeId, message: TakenMessage): void {
    const present = held(message.shard)
    if (present !== undefined && present.ownerEpoch.epoch() < message.epoch) present.committer.lose(from)
  }

  async function drainShard ({ table, committer, ownerEpoch }: OwnedShard, deadlineAtMs: number): Promise<void> {
    await valueUntil(clock, Promise.allSettled(table.running()), deadlineAtMs)
    await valueUntil(clock, committer.flushed(), deadlineAtMs)
    if (committer.state() === 'lost') return
    committer.lose(undefined)
    await ownerEpoch.release()
  }

  async function drain (deadlineAtMs: number): Promise<void> {
    draining = true
    await Promise.all([...owned.values()].map(shard => drainShard(shard, deadlineAtMs)))
  }

  return {
    serve,
    takePreferred,
    owned: () => [...owned.keys()].filter(shard => held(shard) !== undefined),
    handleTaken,
    handleOutcome: ({ shard, record }) => held(shard)?.execution.acceptOutcome(record) ?? false,
    drain,
    close: () => { for (const { committer } of owned.values()) committer.close() }
  }
}
