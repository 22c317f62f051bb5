/**
 * Group commit of one shard: claims and outcomes that come while a commit is
 * in flight go into the next one. One task for each shard.
 */
import { commitIntervalMs } from './limits.ts'
import { isSegmentOf } from './journal.ts'
import type { Clock } from '../clock/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { Journal, JournalCommit } from './journal.ts'
import type { OwnerEpoch } from './owner-epoch.ts'
import type { CallLimits, CallRecord } from './types.ts'

/** What became of a record: in the journal, provably not to be acted on, or the shard has another owner. */
export type CommitResult = 'landed' | 'not-landed' | 'lost'

interface Waiting {
  kind: 'claim' | 'outcome'
  record: CallRecord
  settle: (result: CommitResult) => void
}

/** The committer of one shard. */
export interface Committer {
  /** Commits a claim; refused at once while the key-value service takes none. */
  claim: (record: CallRecord) => Promise<CommitResult>
  /** Commits an outcome; waits through outages. */
  append: (record: CallRecord) => Promise<CommitResult>
  state: () => 'held' | 'suspended' | 'lost'
  waiting: () => number
  /** The other node that owns the shard, once lost. */
  holder: () => NodeId | undefined
  /** Ends this node's ownership: another node is known to own the shard. */
  lose: (holder: NodeId | undefined) => void
  /** Resolves when nothing waits, or the shard is not held. */
  flushed: () => Promise<void>
  close: () => void
}

/** What a committer needs. */
export interface CommitterOptions {
  shard: number
  ownerEpoch: OwnerEpoch
  journal: Journal
  store: KeyValueStore
  clock: Clock
  limits: CallLimits
  metrics: Metrics
  log: Log
  /** Called after each proof that this node owned the shard since `startedAtMs` of monotonic time. */
  onConfirmed: (startedAtMs: number) => void
  onLost: () => void
}

const maxRetryFactor = 8

/** Creates the committer of a shard that this node has taken, and starts its task. */
export function createCommitter (options: CommitterOptions): Committer {
  const { shard, ownerEpoch, journal, store, clock, limits, metrics, log } = options
  const closed = new AbortController()
  let queue: Waiting[] = []
  let state: 'held' | 'suspended' | 'lost' = 'held'
  let holder: NodeId | undefined
  let inDoubt: JournalCommit | undefined
  let inFlight = false
  let wake: () => void = () => {}

  const until = (): { deadlineAtMs: number } => ({ deadlineAtMs: clock.wallMs() + limits.storeTimeoutMs })
  const over = (): boolean => state === 'lost' || closed.signal.aborted

  function enqueue (kind: Waiting['kind'], record: CallRecord): Promise<CommitResult> {
    if (over()) return Promise.resolve('lost')
    return new Promise(resolve => {
      queue.push({ kind, record, settle: resolve })
      wake()
    })
  }

  function claim (record: CallRecord): Promise<CommitResult> {
    if (state === 'suspended') return Promise.resolve('not-landed')
    return enqueue('claim', record)
  }

  function settleRest (): void {
    const rest = queue
    queue = []
    for (const waiting of rest) waiting.settle('lost')
  }

  function lose (other: NodeId | undefined): void {
    if (state === 'lost') return
    state = 'lost'
    holder = other
    metrics.count('calls_shards_lost_total')
    log('shardLost', { shard, holder: other })
    settleRest()
    options.onLost()
    wake()
  }

  /** Refuses the claims that wait, so that nobody waits for an outage to end. */
  function suspend (): void {
    if (state !== 'held') return
    state = 'suspended'
    log('claimsRefused', { shard })
    const claims = queue.filter(waiting => waiting.kind === 'claim')
    queue = queue.filter(waiting => waiting.kind === 'outcome')
    for (const waiting of claims) waiting.settle('not-landed')
  }

  /** Records as many as fit into one segment. */
  function takeBatch (): Waiting[] {
    let sizeBytes = 0
    let count = 0
    for (const { record } of queue) {
      sizeBytes += JSON.stringify(record).length
      if (count > 0 && sizeBytes > limits.maxSegmentBytes) break
      count += 1
    }
    return queue.splice(0, count)
  }

  function landed (batch: Waiting[], commit: JournalCommit, startedAtMs: number): void {
    commit.landed()
    options.onConfirmed(startedAtMs)
    metrics.count('calls_journal_records_total', {}, batch.length)
    for (const waiting of batch) waiting.settle('landed')
  }

  /** Claims that may have landed but are not acted on are followed by records that say so. */
  function putBack (batch: Waiting[], mayHaveLanded: boolean): void {
    const outcomes = batch.filter(waiting => waiting.kind === 'outcome')
    const claims = batch.filter(waiting => waiting.kind === 'claim')
    const withdrawn: Waiting[] = claims.map(({ record }) => ({
      kind: 'outcome', record: { ...record, state: 'not-run' }, settle: () => {}
    }))
    queue = [...(mayHaveLanded ? withdrawn : []), ...outcomes, ...queue]
    suspend()
    for (const waiting of claims) waiting.settle('not-landed')
  }

  async function commitBatch (batch: Waiting[]): Promise<void> {
    const commit = journal.plan(batch.map(waiting => waiting.record), clock.wallMs())
    const startedAtMs = clock.monotonicMs()
    const { puts, deletes } = commit
    const written = await store.transact({ compares: ownerEpoch.compares(), puts, deletes }, until())
    metrics.count('calls_journal_commits_total')
    if (written.isOk && written.value.applied) return landed(batch, commit, startedAtMs)
    if (written.isOk) {
      queue = [...batch, ...queue]
      const found = ownerEpoch.judge(written.value.current[0])
      if (found.kind === 'lost') lose(found.holder)
      return
    }
    metrics.count('calls_journal_failures_total', { kind: written.error.kind })
    if (written.error.kind !== 'KeyValueAmbiguous') return putBack(batch, false)
    const read = await store.get(commit.key, until())
    const found = read.isOk && read.value.entry !== undefined && isSegmentOf(read.value.entry.value, commit.writeId)
    if (found) return landed(batch, commit, startedAtMs)
    inDoubt = commit
    putBack(batch, true)
  }

  /** Settles whether the commit in doubt took effect; only once the epoch was raised after it. */
  async function settleDoubt (): Promise<boolean> {
    if (inDoubt === undefined) return true
    const read = await store.get(inDoubt.key, until())
    if (read.isErr) return false
    const { entry } = read.value
    if (entry !== undefined && isSegmentOf(entry.value, inDoubt.writeId)) inDoubt.landed()
    inDoubt = undefined
    return true
  }

  async function tryRegain (): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    const found = await ownerEpoch.raise()
    if (found.kind === 'lost') return lose(found.holder)
    if (found.kind === 'unavailable' || !await settleDoubt() || over()) return
    options.onConfirmed(startedAtMs)
    state = 'held'
    log('claimsTaken', { shard })
  }

  async function regain (): Promise<void> {
    let pauseMs = limits.storeRetryMs
    while (state === 'suspended' && !closed.signal.aborted) {
      await clock.sleep(pauseMs, closed.signal)
      if (!over()) await tryRegain()
      pauseMs = Math.min(pauseMs * 2, limits.storeRetryMs * maxRetryFactor)
    }
  }

  function somethingToDo (): Promise<void> {
    if (queue.length > 0 || state !== 'held' || closed.signal.aborted) return Promise.resolve()
    return new Promise(resolve => { wake = resolve })
  }

  async function runTask (): Promise<void> {
    while (!over()) {
      await somethingToDo()
      if (state === 'suspended') await regain()
      if (over() || state !== 'held' || queue.length === 0) continue
      const nextAtMs = clock.monotonicMs() + commitIntervalMs(limits)
      inFlight = true
      await commitBatch(takeBatch())
      inFlight = false
      const restMs = nextAtMs - clock.monotonicMs()
      if (restMs > 0) await clock.sleep(restMs, closed.signal)
    }
    settleRest()
  }

  const idle = (): boolean => state !== 'held' || (queue.length === 0 && !inFlight)

  async function flushed (): Promise<void> {
    while (!idle() && !closed.signal.aborted) await clock.sleep(commitIntervalMs(limits), closed.signal)
  }

  function close (): void {
    closed.abort()
    settleRest()
    wake()
  }

  runTask().catch(error => {
    log('journalUnreadable', { shard, error: String(error) })
    lose(undefined)
  })

  return {
    claim,
    append: record => enqueue('outcome', record),
    state: () => state,
    waiting: () => queue.length,
    holder: () => holder,
    lose,
    flushed,
    close
  }
}
