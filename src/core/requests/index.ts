/**
 * The drafts of one node: accepts new drafts, lets callers read them, and hands
 * drafts over to and adopts them from peers.
 */
import type { IdempotencyKey, TeamId, VersionId } from '../ids/index.ts'
import type { Backend } from '../backends/types.ts'
import { AttemptInterruption, runningAttemptOf } from './attempt-draft.ts'
import { createDraft } from './draft.ts'
import type { LiveDraft, Reader } from './draft.ts'
import { parseEventId, resumeIndex } from './event-id.ts'
import type { EventPosition } from './event-id.ts'
import { createHandOver } from './hand-over.ts'
import type { HandOverOptions } from './hand-over.ts'
import { admittingNodeOf } from './request-id.ts'
import { migrateDraft } from './migrate-draft.ts'
import { runDraft } from './run-draft.ts'
import type { RunDraftOptions } from './run-draft.ts'
import { createDraftTable } from './table.ts'
import type { DraftRequest } from './types.ts'

export { parseEventId } from './event-id.ts'
export { createRequestId } from './request-id.ts'
export { streamDraft } from './stream-draft.ts'
export type { LiveDraft, Reader } from './draft.ts'
export type * from './types.ts'

/** Time for which a draft continues without a reader, so that its caller can reconnect. */
const reconnectGraceMs = 5_000

/** Dependencies of the drafts. */
export type DraftsOptions =
  & Omit<RunDraftOptions, 'takeCacheHandle'>
  & Omit<HandOverOptions, 'table' | 'start' | 'isLeaving'>
  & {
    /** Whether another live backend server of the team runs the version of the given one. */
    hasAlternative: (team: TeamId, backend: Backend) => boolean
  }

/** The drafts of one node. */
export interface Drafts {
  /** Returns the draft that this node already has under the request's key, or starts a new one. */
  submit: (request: DraftRequest) => LiveDraft
  /** Finds the draft of a reconnecting caller at this node, or pulls it from a peer; undefined when no node has it. */
  find: (team: TeamId, request: DraftRequest, position: EventPosition | undefined) => Promise<LiveDraft | undefined>
  /** Returns the draft that this node holds under a key; undefined when there is none, or it failed, was cancelled or was handed over. */
  findLocal: (team: TeamId, key: IdempotencyKey) => LiveDraft | undefined
  /** Creates a reader at the position after the last event that the caller received. */
  createReader: (draft: LiveDraft, lastEventId: string | undefined) => Reader
  /** Called when a reader has disconnected. A draft without readers is cancelled, after a grace period if the caller can reconnect. */
  onReaderLeft: (draft: LiveDraft, canReconnect: boolean) => void
  /** Migrates the drafts that won't finish in time at a leaving backend server. */
  onBackendLeaving: (backend: Backend) => void
  /** Interrupts the running attempts of open drafts whose answers a withdrawn version began, so that they restart on another version. */
  withdrawVersion: (team: TeamId, version: VersionId) => void
  openCount: () => number
  /** Stops adopting drafts and hands all open drafts to peers; resolves to the number of drafts that could not be handed over. */
  handOverAll: () => Promise<number>
  /** Stops adopting drafts from peers. */
  stopAdopting: () => void
  /** Stops the work on all drafts without cancelling it at the engines. */
  close: () => Promise<void>
}

/** Creates the drafts of one node. */
export function createDrafts (options: DraftsOptions): Drafts {
  const table = createDraftTable(options.clock)
  const tasks = new Set<Promise<void>>()
  /** Handles of KV caches that an engine exported because its backend server is leaving; each waits for the draft's next attempt. */
  const cacheHandles = new WeakMap<LiveDraft, string>()
  let leaving = false
  const handOver = createHandOver({ ...options, table, start, isLeaving: () => leaving })

  /** Removes and returns the handle. Called when the draft's next attempt is planned, which imports the KV cache at its engine. */
  function takeCacheHandle (draft: LiveDraft): string | undefined {
    const handle = cacheHandles.get(draft)
    cacheHandles.delete(draft)
    return handle
  }

  function start (draft: LiveDraft): void {
    const task = runDraft(draft, { ...options, takeCacheHandle })
      .catch((error: unknown) => {
        options.log('draftTaskFailed', { request: draft.request.request, cause: String(error) })
        draft.abortController.abort(error)
      })
      .finally(() => {
        tasks.delete(task)
        table.markEnded(draft)
        draft.onEnded?.(draft)
      })
    tasks.add(task)
  }

  function findLocal (team: TeamId, key: IdempotencyKey): LiveDraft | undefined {
    const draft = table.find(team, key)
    if (draft === undefined || draft.handedOverTo !== undefined || draft.abortController.signal.aborted) return undefined
    // A failed draft may be submitted again under its key.
    return draft.end?.kind === 'failed' ? undefined : draft
  }

  function submit (request: DraftRequest): LiveDraft {
    const earlier = findLocal(request.team, request.key)
    if (earlier !== undefined) return earlier
    const draft = createDraft(request)
    table.add(draft)
    start(draft)
    return draft
  }

  async function find (team: TeamId, request: DraftRequest, position: EventPosition | undefined): Promise<LiveDraft | undefined> {
    const here = findLocal(team, request.key)
    if (here !== undefined) return here
    return await handOver.pull({ team, key: request.key, admittingNode: position === undefined ? undefined : admittingNodeOf(position.request) })
  }

  function createReader (draft: LiveDraft, lastEventId: string | undefined): Reader {
    if (lastEventId === undefined) return { nextIndex: 0, mustRestart: false }
    const position = parseEventId(lastEventId)
    const index = position === undefined ? undefined : resumeIndex(draft, position)
    return { nextIndex: index ?? 0, mustRestart: index === undefined }
  }

  async function onReaderLeft (draft: LiveDraft, canReconnect: boolean): Promise<void> {
    if (canReconnect) await options.clock.sleep(reconnectGraceMs, draft.abortController.signal)
    if (draft.readers.size > 0 || draft.end !== undefined || draft.handedOverTo !== undefined) return
    options.metrics.countRefusal('caller-left')
    draft.abortController.abort(new AttemptInterruption('caller-left'))
    table.remove(draft)
  }

  function withdrawVersion (team: TeamId, version: VersionId): void {
    for (const draft of table.listOpen()) {
      if (draft.request.team !== team || draft.version !== version) continue
      runningAttemptOf(draft)?.interrupt('version-withdrawn')
    }
  }

  function onBackendLeaving (backend: Backend): void {
    const drafts = table.listOpen().filter(draft => draft.backend === backend.id)
    for (const draft of drafts) {
      migrateDraft(draft, backend, {
        clock: options.clock,
        hasAlternative: options.hasAlternative(draft.request.team, backend),
        storeCacheHandle: handle => { cacheHandles.set(draft, handle) }
      }).catch(() => runningAttemptOf(draft)?.interrupt('backend-leaving'))
    }
  }

  async function handOverAll (): Promise<number> {
    leaving = true
    const open = table.listOpen()
    const results = await Promise.all(open.map(draft => handOver.push(draft)))
    return results.filter(handedOver => !handedOver).length
  }

  async function close (): Promise<void> {
    leaving = true
    for (const draft of table.listOpen()) draft.abortController.abort(new AttemptInterruption('handed-over'))
    await Promise.all(tasks)
  }

  return {
    submit,
    find,
    findLocal,
    createReader,
    onReaderLeft,
    onBackendLeaving,
    withdrawVersion,
    openCount: () => table.listOpen().length,
    handOverAll,
    stopAdopting: () => { leaving = true },
    close
  }
}
