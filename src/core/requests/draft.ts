/** The state of one draft and its transitions. Each change notifies everyone who awaits `nextChange()`. */
import type { AttemptId, VersionId } from '../ids/index.ts'
import type { Draft, DraftEnd, DraftRequest, DraftSnapshot } from './types.ts'

/** A caller's connection that reads an answer. */
export interface Reader {
  /** Index of the next event to send. After a reconnect it may be ahead of the events that this node has. */
  nextIndex: number
  /** Whether a `restart` event must be sent first, which tells the caller to discard the events that it already has. */
  mustRestart: boolean
}

/** A draft that is held by this node, with its change notifications and readers. */
export interface LiveDraft extends Draft {
  /** Resolves at the next change. */
  nextChange: () => Promise<void>
  /** Resolves all pending `nextChange()` promises. */
  notifyChange: () => void
  /** Called once when this node's work on the draft has ended, for any reason; may be set at any time. */
  onEnded: ((draft: LiveDraft) => void) | undefined
  /** Connected readers. */
  readers: Set<Reader>
  /** Stops this node's work on the draft; the abort reason is an Error or undefined. */
  abortController: AbortController
}

/** Creates a draft without events. */
export function createDraft (request: DraftRequest): LiveDraft {
  return fromSnapshot({
    request,
    version: undefined,
    parts: [],
    raws: [],
    texts: [],
    end: undefined,
    holderEpoch: 0,
    backend: undefined
  })
}

/** Creates a draft from the snapshot of a hand-over. */
export function fromSnapshot (snapshot: DraftSnapshot): LiveDraft {
  let waiters: Array<() => void> = []
  return {
    ...snapshot,
    parts: [...snapshot.parts],
    raws: [...snapshot.raws],
    texts: [...snapshot.texts],
    handedOverTo: undefined,
    readers: new Set(),
    onEnded: undefined,
    abortController: new AbortController(),
    nextChange: () => new Promise(resolve => { waiters.push(resolve) }),
    notifyChange: () => {
      const currentWaiters = waiters
      waiters = []
      for (const resolve of currentWaiters) resolve()
    }
  }
}

/** Creates the snapshot that another node needs to continue the draft; the new holder's epoch is one higher. */
export function toSnapshot (draft: LiveDraft): DraftSnapshot {
  return {
    request: draft.request,
    version: draft.version,
    parts: draft.parts,
    raws: draft.raws,
    texts: draft.texts,
    end: draft.end,
    holderEpoch: draft.holderEpoch + 1,
    backend: draft.backend
  }
}

/** Returns whether this node may continue to work on the draft. */
export function isActive (draft: LiveDraft): boolean {
  return draft.end === undefined && draft.handedOverTo === undefined && !draft.abortController.signal.aborted
}

/** Begins the part of a new attempt; the events appended from now on belong to it. */
export function beginPart (draft: LiveDraft, attempt: AttemptId, version: VersionId): void {
  draft.version = version
  draft.parts.push({ attempt, startIndex: draft.raws.length })
  // A reader that is ahead has events of an earlier attempt that this node doesn't have, so its answer can't be continued.
  for (const reader of draft.readers) {
    if (reader.nextIndex > draft.raws.length) restartReader(reader)
  }
}

function restartReader (reader: Reader): void {
  reader.nextIndex = 0
  reader.mustRestart = true
}

/** Appends one event. Only valid if the event's index is the next one. */
export function appendEvent (draft: LiveDraft, raw: string, text: string): void {
  draft.raws.push(raw)
  draft.texts.push(text)
  draft.notifyChange()
}

/** Discards all events, because the answer restarts on another version. */
export function restartAnswer (draft: LiveDraft): void {
  draft.parts = []
  draft.raws = []
  draft.texts = []
  draft.version = undefined
  for (const reader of draft.readers) restartReader(reader)
  draft.notifyChange()
}

/** Ends the draft; later calls do nothing. */
export function endDraft (draft: LiveDraft, end: DraftEnd): void {
  if (draft.end !== undefined) return
  draft.end = end
  draft.backend = undefined
  draft.notifyChange()
}

/** Returns the attempt that generated the event at an index; for future events, the latest attempt. */
export function attemptOf (draft: Draft, index: number): AttemptId | undefined {
  let found: AttemptId | undefined
  for (const part of draft.parts) {
    if (part.startIndex > index) break
    found = part.attempt
  }
  return found
}
