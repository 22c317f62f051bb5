/** Connects drafts and calls of the own interface with the quarantine: asks it before each attempt, and tells it which were answered or crashed their backend server. */
import { createCrashProbe } from '../connections/crash-probe.ts'
import { createId, toId } from '../ids/index.ts'
import { digestRequest } from '../quarantine/index.ts'
import type { Backend } from '../backends/types.ts'
import type { AttemptRequest } from '../calls/index.ts'
import type { Clock } from '../clock/index.ts'
import type { AttemptId, BackendId, PromptPartId, RequestDigest, RequestFeature, TeamId } from '../ids/index.ts'
import type { Admittance, Quarantine } from '../quarantine/index.ts'
import type { AttemptOutcome, DraftChoice, DraftRequest } from '../requests/index.ts'

/** Options of the gate. */
export interface OwnPathQuarantineOptions {
  clock: Clock
  quarantine: Pick<Quarantine, 'admit' | 'recordAnswer' | 'recordCrash'>
  /** The backend servers that a team's requests may be sent to. */
  liveBackends: (team: TeamId) => readonly Backend[]
}

/** The quarantine as the choice of a draft's engine and the sender of calls use it. `hashes` are those of the prompt's blocks. */
export interface OwnPathQuarantine {
  /** Decides before an attempt of a draft. */
  admitDraft: (draft: DraftRequest, hashes: readonly string[]) => Promise<Admittance>
  /** Returns the choice with callbacks that also tell the quarantine what became of the attempt. */
  observeDraft: (draft: DraftRequest, hashes: readonly string[], choice: DraftChoice, release: () => void) => DraftChoice
  /** Decides before an attempt of a call. */
  admitCall: (call: AttemptRequest, signal: AbortSignal) => Promise<Admittance>
  /** Records a complete response to a call. */
  recordCallAnswer: (call: AttemptRequest) => void
  /** Finds out whether the backend server crashed under a call that may have run. */
  detectCallCrash: (call: AttemptRequest, backend: Backend) => Promise<void>
}

/** Maximum number of block hashes that stand for a prompt. */
const maxParts = 15
/** Ratio of the positions of two successive ones of them. */
const positionRatio = 1.5

/** A hash covers all blocks before its own, so few of them, closer at the beginning, tell how long the common part of two prompts is. */
export function partsOfBlocks (hashes: readonly string[]): PromptPartId[] {
  const parts: PromptPartId[] = []
  for (let position = 1; position <= hashes.length && parts.length < maxParts; position = Math.max(position + 1, Math.floor(position * positionRatio))) {
    parts.push(toId<PromptPartId>(hashes[position - 1] ?? ''))
  }
  return parts
}

/** Creates the gate of a node. */
export function createOwnPathQuarantine ({ clock, quarantine, liveBackends }: OwnPathQuarantineOptions): OwnPathQuarantine {
  const probe = createCrashProbe()
  const draftDigests = new WeakMap<DraftRequest, RequestDigest>()
  /** Probes after the end of an attempt; the next attempt waits for them. */
  const openProbes = new WeakMap<DraftRequest, Promise<void>>()

  function featuresOfDraft (draft: DraftRequest, hashes: readonly string[]): RequestFeature[] {
    const digest = draftDigests.get(draft) ?? digestRequest({ method: 'draft', host: '', path: draft.route, team: draft.team, body: draft.prompt })
    draftDigests.set(draft, digest)
    return [digest, ...partsOfBlocks(hashes)]
  }

  function featuresOfCall ({ route, team, body }: AttemptRequest): RequestFeature[] {
    return [digestRequest({ method: 'call', host: '', path: route, team, body })]
  }

  async function detectCrash ({ team, route }: { team: TeamId, route: string }, features: readonly RequestFeature[], { id, url }: { id: BackendId, url: string }, hasStarted: boolean): Promise<void> {
    const crashedAtMs = clock.wallMs()
    const { hostname, port } = new URL(url)
    if (await probe({ host: hostname, port: Number(port) }) !== 'refused') return
    quarantine.recordCrash({
      attempt: createId<AttemptId>('att', crashedAtMs), service: team, backend: id, backendStartedAtMs: undefined, features, hasStarted, inProgress: 1, crashedAtMs, origin: { team, route }
    })
  }

  async function admitDraft (draft: DraftRequest, hashes: readonly string[]): Promise<Admittance> {
    await openProbes.get(draft)
    const signal = AbortSignal.timeout(Math.max(0, draft.deadlineAtMs - clock.wallMs()))
    // An accepted draft is finished if it can be, so it may be one of the few that are sent while it is suspected.
    return await quarantine.admit({ service: draft.team, features: featuresOfDraft(draft, hashes), isRetryAfterCrash: false, liveBackends: () => liveBackends(draft.team), signal })
  }

  function observeDraft (draft: DraftRequest, hashes: readonly string[], choice: DraftChoice, release: () => void): DraftChoice {
    function onEnded (outcome: AttemptOutcome): void {
      release()
      choice.onEnded(outcome)
      const isBroken = !outcome.ok && outcome.attributedToBackend && outcome.firstTokenMs === undefined
      const mayBeCrash = isBroken && (outcome.reason === 'stream-broken' || outcome.reason === 'answer-incomplete')
      // An engine sends the head at once, so it doesn't tell which prompts were being answered.
      if (mayBeCrash && choice.backend.state === 'live') openProbes.set(draft, detectCrash(draft, featuresOfDraft(draft, hashes), choice.backend, false))
    }
    return {
      ...choice,
      onFirstToken: () => {
        quarantine.recordAnswer(draft.team, featuresOfDraft(draft, hashes))
        choice.onFirstToken()
      },
      onEnded
    }
  }

  return {
    admitDraft,
    observeDraft,
    admitCall: async (call, signal) => await quarantine.admit({ service: call.team, features: featuresOfCall(call), isRetryAfterCrash: false, liveBackends: () => liveBackends(call.team), signal }),
    recordCallAnswer: call => quarantine.recordAnswer(call.team, featuresOfCall(call)),
    detectCallCrash: async (call, backend) => { if (backend.state === 'live') await detectCrash(call, featuresOfCall(call), backend, true) }
  }
}
