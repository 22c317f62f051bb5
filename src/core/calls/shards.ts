/**
 * The shards that this node owns. It takes a shard when it is the preferred owner
 * and gives it up when another node has taken it.
 */
import { Result } from 'true-myth'
import { createCallTable } from './table.ts'
import { createCommitter } from './committer.ts'
import { createExecution } from './execution.ts'
import { openJournal } from './journal.ts'
import { outcomeKind, takenKind } from './messages.ts'
import { createOwnershipProof } from './ownership-proof.ts'
import { createPeerConfirmation } from './peer-confirmation.ts'
import { createOwnerEpoch } from './owner-epoch.ts'
import { takeShard } from './ownership.ts'
import { refuse } from './refusals.ts'
import { valueOrTimeout } from './wait.ts'
import type { NodeId } from '../ids/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { AttemptOptions } from './attempt.ts'
import type { Candidates } from './candidates.ts'
import type { Committer } from './committer.ts'
import type { Execution } from './execution.ts'
import type { OutcomeMessage, TakenResponse, TakenMessage, OwnershipQueryResponse, OwnershipQueryMessage } from './messages.ts'
import type { OwnerEpoch } from './owner-epoch.ts'
import type { OwnerValue, TakeFailure, TakenShard } from './ownership.ts'
import type { CallTable } from './table.ts'
import type { OwnershipProof } from './ownership-proof.ts'
import type { CallRecord, CallRequest, ServeResult } from './types.ts'

const defaultRetryDelayMs = 1_000
const handoverTimeoutMs = 2_000
const handoverAttempts = 2

interface OwnedShard {
  table: CallTable
  committer: Committer
  ownerEpoch: OwnerEpoch
  execution: Execution
  ownershipProof: OwnershipProof
}

/** The shards of one node. */
export interface Shards {
  /** Runs a request if this node owns its shard, or takes the shard first if it should own it. */
  serve: (shard: number, request: CallRequest) => Promise<ServeResult>
  /** Takes the shards of which this node is the preferred but not the current owner. */
  takePreferred: () => Promise<void>
  owned: () => number[]
  handleTaken: (from: NodeId, message: TakenMessage) => TakenResponse
  handleOwnershipQuery: (message: OwnershipQueryMessage) => OwnershipQueryResponse
  handleOutcome: (message: OutcomeMessage) => boolean
  /** Stops taking shards; owned shards are served until another node takes them. */
  leave: () => void
  /** Releases each owned shard once its calls have ended or the deadline (wall time) has passed. */
  drain: (deadlineAtMs: number) => Promise<void>
  close: () => void
}

/** Dependencies of the shards of a node. */
export interface ShardsOptions extends AttemptOptions {
  membership: Membership
  network: PeerNetwork
  store: KeyValueStore
  candidates: Candidates
}

/** Creates the shards of a node; initially none is owned. */
export function createShards (options: ShardsOptions): Shards {
  const { membership, network, store, candidates, clock, limits, metrics, log } = options
  const self = membership.self.node
  const owned = new Map<number, OwnedShard>()
  const taking = new Map<number, Promise<Result<OwnedShard, TakeFailure>>>()
  const peerConfirmation = createPeerConfirmation(membership, network, clock)
  const highestEpochs = new Map<number, number>()
  let leaving = false
  let draining = false

  function findOwned (shard: number): OwnedShard | undefined {
    const found = owned.get(shard)
    return found === undefined || found.committer.state() === 'lost' ? undefined : found
  }

  function mayTakeFrom (owner: OwnerValue, unreachable: NodeId[]): boolean {
    if (owner.node === null || owner.node === self) return true
    if (unreachable.includes(owner.node) || membership.find(owner.node) === undefined) return true
    return owner.takenAtMs + limits.minOwnershipMs <= clock.wallMs()
  }

  function openShard (shard: number, taken: TakenShard, startedAtMs: number): OwnedShard {
    const table = createCallTable()
    const previousNode = taken.previousOwner?.node ?? null
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
      onConfirmed: atMs => ownershipProof.confirm(atMs),
      onLost: () => { if (owned.get(shard)?.committer === committer) owned.delete(shard) }
    })
    const ownershipProof = createOwnershipProof({
      clock,
      ownershipProofMs: limits.ownershipProofMs,
      confirmedAtMs: startedAtMs,
      isLost: () => committer.state() === 'lost',
      confirmWithPeers: () => peerConfirmation.confirm(shard, ownerEpoch.epoch()),
      requestRelease: () => requestRelease(shard, taken)
    })
    const execution = createExecution({
      ...options,
      table,
      committer,
      isOwnershipProven: ownershipProof.isValid,
      waitForPreviousOwner: ownershipProof.waitForPreviousOwner,
      isPreviousOwnerLive: () => previousNode !== null && (previousNode === self || membership.find(previousNode) !== undefined),
      handOver: record => { handOver(shard, record, committer.newOwner()).catch(() => {}) }
    })
    metrics.count('calls_shards_taken_total')
    log('shardTaken', { shard, epoch: taken.owner.epoch, former: previousNode })
    return { table, committer, ownerEpoch, execution, ownershipProof }
  }

  async function take (shard: number, unreachable: NodeId[]): Promise<Result<OwnedShard, TakeFailure>> {
    const startedAtMs = clock.monotonicMs()
    const mayTake = (owner: OwnerValue): boolean => mayTakeFrom(owner, unreachable)
    const taken = await takeShard({ shard, self: membership.self, store, clock, limits, mayTake })
    if (taken.isErr) return Result.err(taken.error)
    const { epoch } = taken.value.owner
    // Another node's notification that it took the shard in a later epoch may have arrived first.
    if (epoch < (highestEpochs.get(shard) ?? 0)) return Result.err({ kind: 'held', holder: undefined })
    highestEpochs.set(shard, epoch)
    const opened = openShard(shard, taken.value, startedAtMs)
    owned.set(shard, opened)
    return Result.ok(opened)
  }

  /** Asks the previous owner to release a shard; resolves with the time in milliseconds for which to delay attempts. */
  async function requestRelease (shard: number, { previousOwner, owner }: TakenShard): Promise<number> {
    if (previousOwner === undefined || previousOwner.node === null) return 0
    if (previousOwner.node === self) return limits.ownershipProofMs
    const message: TakenMessage = { shard, epoch: owner.epoch }
    const response = await network.request(previousOwner.address, takenKind, message, clock.wallMs() + limits.ownershipProofMs)
    return response.isOk ? (response.value as TakenResponse).quietMs : limits.ownershipProofMs
  }

  /** Logs that a journal can't be read. Its shard has no owner then; the other shards are not affected. */
  function journalFailure (shard: number, error: unknown): Result<OwnedShard, TakeFailure> {
    log('journalUnreadable', { shard, error: String(error) })
    return Result.err({ kind: 'unavailable' })
  }

  function takeOnce (shard: number, unreachable: NodeId[]): Promise<Result<OwnedShard, TakeFailure>> {
    const running = taking.get(shard)
    if (running !== undefined) return running
    const started = take(shard, unreachable)
      .catch((error: unknown) => journalFailure(shard, error))
      .finally(() => { taking.delete(shard) })
    taking.set(shard, started)
    return started
  }

  async function serve (shard: number, request: CallRequest): Promise<ServeResult> {
    const current = draining ? undefined : findOwned(shard)
    if (current !== undefined) return await current.execution.serve(request)
    const first = candidates.of(shard).find(node => !request.unreachable.includes(node))
    if (leaving || first !== self) return { kind: 'moved', holder: leaving ? undefined : first }
    const taken = await takeOnce(shard, request.unreachable)
    if (taken.isOk) return await taken.value.execution.serve(request)
    if (taken.error.kind === 'held') return { kind: 'moved', holder: taken.error.holder }
    const refusal = refuse('store-unavailable', 'unknown', 'store-unavailable-unknown', clock.wallMs() + defaultRetryDelayMs)
    return { kind: 'refused', refusal }
  }

  async function takePreferred (): Promise<void> {
    for (let shard = 0; shard < limits.callShards; shard += 1) {
      const shouldTake = !leaving && candidates.of(shard)[0] === self && findOwned(shard) === undefined
      if (shouldTake) await takeOnce(shard, [])
    }
  }

  /** Sends an outcome to the current owner. If this fails, the call stays unknown there. */
  async function handOver (shard: number, record: CallRecord, owner: NodeId | undefined): Promise<void> {
    const ownedHere = findOwned(shard)
    if (ownedHere !== undefined && ownedHere.execution.acceptOutcome(record)) return
    const target = owner ?? candidates.of(shard).find(node => node !== self)
    const address = target === undefined ? undefined : membership.find(target)
    if (address === undefined) return
    for (let attempt = 1; attempt <= handoverAttempts; attempt += 1) {
      const sent = await network.request(address, outcomeKind, { shard, record }, clock.wallMs() + handoverTimeoutMs)
      if (sent.isOk) {
        metrics.count('calls_outcomes_handed_over_total', { taken: String(sent.value) })
        return
      }
    }
  }

  function handleTaken (from: NodeId, { shard, epoch }: TakenMessage): TakenResponse {
    const current = findOwned(shard)
    highestEpochs.set(shard, Math.max(epoch, highestEpochs.get(shard) ?? 0))
    if (current === undefined || current.ownerEpoch.epoch() >= epoch) return { quietMs: limits.ownershipProofMs }
    current.committer.markLost(from)
    return { quietMs: current.ownershipProof.remainingHoldBackMs() }
  }

  async function drainShard ({ table, committer, ownerEpoch, ownershipProof }: OwnedShard, deadlineAtMs: number): Promise<void> {
    await valueOrTimeout(clock, Promise.allSettled(table.running()), deadlineAtMs)
    await valueOrTimeout(clock, committer.whenIdle(), deadlineAtMs)
    await ownershipProof.waitForPreviousOwner()
    if (committer.state() === 'lost') return
    committer.markLost(undefined)
    await ownerEpoch.release()
  }

  async function drain (deadlineAtMs: number): Promise<void> {
    leaving = true
    draining = true
    await Promise.all([...owned.values()].map(shard => drainShard(shard, deadlineAtMs)))
  }

  return {
    serve,
    takePreferred,
    owned: () => [...owned.keys()].filter(shard => findOwned(shard) !== undefined),
    handleTaken,
    handleOwnershipQuery: ({ shard }) => ({
      epoch: highestEpochs.get(shard) ?? 0,
      nodes: [self, ...membership.peers().map(peer => peer.node)]
    }),
    handleOutcome: ({ shard, record }) => findOwned(shard)?.execution.acceptOutcome(record) ?? false,
    leave: () => { leaving = true },
    drain,
    close: () => {
      peerConfirmation.close()
      for (const { committer } of owned.values()) committer.close()
    }
  }
}
