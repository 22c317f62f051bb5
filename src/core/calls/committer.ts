/**
 * Group commit of one shard: claims and outcomes that arrive while a commit is in
 * flight go into the next one. Each shard has one commit task.
 */
import { commitIntervalMs } from './limits.ts'
import { hasWriteId } from './journal.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { Journal, JournalCommit } from './journal.ts'
import type { OwnerEpoch } from './owner-epoch.ts'
import type { CallLimits, CallRecord } from './types.ts'

/**
 * The result of committing a record. `not-committed`: the caller must not act on the
 * record; if it may have been written, a `not-run` record follows it. `lost`: another
 * node owns the shard, or the committer was closed.
 */
export type CommitResult = 'committed' | 'not-committed' | 'lost'

interface QueuedRecord {
  kind: 'claim' | 'outcome'
  record: CallRecord
  settle: (result: CommitResult) => void
}

/** The committer of one shard. */
export interface Committer {
  /** Commits a claim; fails immediately while the key-value service is unavailable. */
  commitClaim: (record: CallRecord) => Promise<CommitResult>
  /** Commits an outcome; waits while the key-value service is unavailable. */
  commitOutcome: (record: CallRecord) => Promise<CommitResult>
  /** `suspended`: the shard is owned, but the key-value service is unavailable. */
  state: () => 'held' | 'suspended' | 'lost'
  /** Number of records that wait for a commit. */
  queueLength: () => number
  /** The new owner of a lost shard, if known. */
  newOwner: () => NodeId | undefined
  /** Ends this node's ownership of the shard, because another node took it or this node releases it. */
  markLost: (newOwner: NodeId | undefined) => void
  /** Resolves when no record waits or is being committed, or when the state isn't `held`. */
  whenIdle: () => Promise<void>
  close: () => void
}

/** Dependencies of a committer. */
export interface CommitterOptions {
  shard: number
  ownerEpoch: OwnerEpoch
  journal: Journal
  store: KeyValueStore
  clock: Clock
  limits: CallLimits
  metrics: Metrics
  log: Log
  /** Called after each proof that this node still owned the shard at `startedAtMs` (monotonic time). */
  onConfirmed: (startedAtMs: number) => void
  onLost: () => void
}

/** Limit of the exponential backoff, as a multiple of `storeRetryMs`. */
const maxRetryFactor = 8

/** Creates the committer of a shard that this node has taken, and starts its task. */
export function createCommitter (options: CommitterOptions): Committer {
  const { shard, ownerEpoch, journal, store, clock, limits, metrics, log } = options
  const closed = new AbortController()
  let queue: QueuedRecord[] = []
  let state: 'held' | 'suspended' | 'lost' = 'held'
  let newOwner: NodeId | undefined
  /** A commit of which it is not known whether it took effect. */
  let inDoubt: JournalCommit | undefined
  let isCommitting = false
  let wake: () => void = () => {}

  const requestOptions = (): { deadlineAtMs: number } => ({ deadlineAtMs: clock.wallMs() + limits.storeTimeoutMs })
  const hasEnded = (): boolean => state === 'lost' || closed.signal.aborted

  function enqueue (kind: QueuedRecord['kind'], record: CallRecord): Promise<CommitResult> {
    if (hasEnded()) return Promise.resolve('lost')
    return new Promise(resolve => {
      queue.push({ kind, record, settle: resolve })
      wake()
    })
  }

  function commitClaim (record: CallRecord): Promise<CommitResult> {
    if (state === 'suspended') return Promise.resolve('not-committed')
    return enqueue('claim', record)
  }

  function settleQueuedAsLost (): void {
    const remaining = queue
    queue = []
    for (const queued of remaining) queued.settle('lost')
  }

  function markLost (node: NodeId | undefined): void {
    if (state === 'lost') return
    state = 'lost'
    newOwner = node
    metrics.count('calls_shards_lost_total')
    log('shardLost', { shard, holder: node })
    settleQueuedAsLost()
    options.onLost()
    wake()
  }

  /** Fails the queued claims, so that no caller waits for an outage to end. */
  function suspend (): void {
    if (state !== 'held') return
    state = 'suspended'
    log('claimsRefused', { shard })
    const claims = queue.filter(queued => queued.kind === 'claim')
    queue = queue.filter(queued => queued.kind === 'outcome')
    for (const claim of claims) claim.settle('not-committed')
  }

  /** Takes as many records from the queue as fit into one segment, at least one. */
  function takeBatch (): QueuedRecord[] {
    let sizeBytes = 0
    let count = 0
    for (const { record } of queue) {
      sizeBytes += JSON.stringify(record).length
      if (count > 0 && sizeBytes > limits.maxSegmentBytes) break
      count += 1
    }
    return queue.splice(0, count)
  }

  function settleCommitted (batch: QueuedRecord[], commit: JournalCommit, startedAtMs: number): void {
    commit.markCommitted()
    options.onConfirmed(startedAtMs)
    metrics.count('calls_journal_records_total', {}, batch.length)
    for (const queued of batch) queued.settle('committed')
  }

  /**
   * Queues the outcomes of a failed commit again and fails its claims. Claims that may
   * have been written are followed by `not-run` records, because they are not acted on.
   */
  function requeueUncommitted (batch: QueuedRecord[], mayBeWritten: boolean): void {
    const outcomes = batch.filter(queued => queued.kind === 'outcome')
    const claims = batch.filter(queued => queued.kind === 'claim')
    const withdrawals: QueuedRecord[] = claims.map(({ record }) => ({
      kind: 'outcome', record: { ...record, state: 'not-run' }, settle: () => {}
    }))
    queue = [...(mayBeWritten ? withdrawals : []), ...outcomes, ...queue]
    suspend()
    for (const claim of claims) claim.settle('not-committed')
  }

  async function commitBatch (batch: QueuedRecord[]): Promise<void> {
    const commit = journal.plan(batch.map(queued => queued.record), clock.wallMs())
    const startedAtMs = clock.monotonicMs()
    const { puts, deletes } = commit
    const written = await store.transact({ compares: ownerEpoch.compares(), puts, deletes }, requestOptions())
    metrics.count('calls_journal_commits_total')
    if (written.isOk && written.value.applied) return settleCommitted(batch, commit, startedAtMs)
    if (written.isOk) {
      queue = [...batch, ...queue]
      const status = ownerEpoch.resolveConflict(written.value.current[0])
      if (status.kind === 'lost') markLost(status.holder)
      return
    }
    metrics.count('calls_journal_failures_total', { kind: written.error.kind })
    if (written.error.kind !== 'KeyValueAmbiguous') return requeueUncommitted(batch, false)
    const read = await store.get(commit.key, requestOptions())
    const tookEffect = read.isOk && read.value.entry !== undefined && hasWriteId(read.value.entry.value, commit.writeId)
    if (tookEffect) return settleCommitted(batch, commit, startedAtMs)
    inDoubt = commit
    requeueUncommitted(batch, true)
  }

  /**
   * Reads whether the commit in doubt took effect; false if this can't be read. Must be
   * called after the epoch was incremented: then the commit can no longer take effect.
   */
  async function resolveInDoubt (): Promise<boolean> {
    if (inDoubt === undefined) return true
    const read = await store.get(inDoubt.key, requestOptions())
    if (read.isErr) return false
    const { entry } = read.value
    if (entry !== undefined && hasWriteId(entry.value, inDoubt.writeId)) inDoubt.markCommitted()
    inDoubt = undefined
    return true
  }

  async function tryResume (): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    const status = await ownerEpoch.increment()
    if (status.kind === 'lost') return markLost(status.holder)
    if (status.kind === 'unavailable' || !await resolveInDoubt() || hasEnded()) return
    options.onConfirmed(startedAtMs)
    state = 'held'
    log('claimsTaken', { shard })
  }

  async function resume (): Promise<void> {
    let pauseMs = limits.storeRetryMs
    while (state === 'suspended' && !closed.signal.aborted) {
      await clock.sleep(pauseMs, closed.signal)
      if (!hasEnded()) await tryResume()
      pauseMs = Math.min(pauseMs * 2, limits.storeRetryMs * maxRetryFactor)
    }
  }

  function waitForWork (): Promise<void> {
    if (queue.length > 0 || state !== 'held' || closed.signal.aborted) return Promise.resolve()
    return new Promise(resolve => { wake = resolve })
  }

  async function runTask (): Promise<void> {
    while (!hasEnded()) {
      await waitForWork()
      if (state === 'suspended') await resume()
      if (hasEnded() || state !== 'held' || queue.length === 0) continue
      const nextAtMs = clock.monotonicMs() + commitIntervalMs(limits)
      isCommitting = true
      await commitBatch(takeBatch())
      isCommitting = false
      const remainingMs = nextAtMs - clock.monotonicMs()
      if (remainingMs > 0) await clock.sleep(remainingMs, closed.signal)
    }
    settleQueuedAsLost()
  }

  const isIdle = (): boolean => state !== 'held' || (queue.length === 0 && !isCommitting)

  async function whenIdle (): Promise<void> {
    while (!isIdle() && !closed.signal.aborted) await clock.sleep(commitIntervalMs(limits), closed.signal)
  }

  function close (): void {
    closed.abort()
    settleQueuedAsLost()
    wake()
  }

  runTask().catch(error => {
    log('journalUnreadable', { shard, error: String(error) })
    markLost(undefined)
  })

  return {
    commitClaim,
    commitOutcome: record => enqueue('outcome', record),
    state: () => state,
    queueLength: () => queue.length,
    newOwner: () => newOwner,
    markLost,
    whenIdle,
    close
  }
}
