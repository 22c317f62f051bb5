/** Connects drafts with the quarantine: asks it before each attempt, and tells it which prompts were answered or crashed their engine. */
import { createCrashProbe } from '../connections/crash-probe.ts'
import { createId, toId } from '../ids/index.ts'
import type { AttemptId, PromptPartId } from '../ids/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Admittance, Quarantine } from '../quarantine/index.ts'
import type { AttemptOutcome, DraftChoice, DraftRequest } from '../requests/index.ts'

/** The quarantine as the choice of a draft's engine uses it. `hashes` are those of the prompt's blocks. */
export interface DraftPromptGate {
  /** Decides before an attempt. */
  admit: (draft: DraftRequest, hashes: readonly string[]) => Promise<Admittance>
  /** Returns the choice with callbacks that also tell the quarantine what became of the attempt. */
  observe: (draft: DraftRequest, hashes: readonly string[], choice: DraftChoice, release: () => void) => DraftChoice
}

/** Maximum number of block hashes that stand for a prompt. */
const maxParts = 16
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

/** Creates the gate of a node's drafts. */
export function createDraftPromptGate ({ clock, quarantine }: { clock: Clock, quarantine: Pick<Quarantine, 'admit' | 'recordAnswer' | 'recordCrash'> }): DraftPromptGate {
  const probe = createCrashProbe()
  /** Probes after the end of an attempt; the next attempt waits for them. */
  const openProbes = new WeakMap<DraftRequest, Promise<void>>()

  async function detectCrash (draft: DraftRequest, hashes: readonly string[], { backend }: DraftChoice): Promise<void> {
    const crashedAtMs = clock.wallMs()
    const { hostname, port } = new URL(backend.url)
    if (await probe({ host: hostname, port: Number(port) }) !== 'refused') return
    // An engine sends the head at once, so it doesn't tell which prompts were being answered.
    quarantine.recordCrash({
      attempt: createId<AttemptId>('att', crashedAtMs), service: draft.team, backend: backend.id, backendStartedAtMs: undefined, features: partsOfBlocks(hashes), hasStarted: false, crashedAtMs
    })
  }

  async function admit (draft: DraftRequest, hashes: readonly string[]): Promise<Admittance> {
    await openProbes.get(draft)
    const signal = AbortSignal.timeout(Math.max(0, draft.deadlineAtMs - clock.wallMs()))
    // An accepted draft is finished if it can be, so it may be one of the few that are sent while their prompt is suspected.
    return await quarantine.admit({ service: draft.team, features: partsOfBlocks(hashes), isRetryAfterCrash: false, signal })
  }

  function observe (draft: DraftRequest, hashes: readonly string[], choice: DraftChoice, release: () => void): DraftChoice {
    function onEnded (outcome: AttemptOutcome): void {
      release()
      choice.onEnded(outcome)
      const isBroken = !outcome.ok && outcome.attributedToBackend && outcome.firstTokenMs === undefined
      const mayBeCrash = isBroken && (outcome.reason === 'stream-broken' || outcome.reason === 'answer-incomplete')
      if (mayBeCrash && choice.backend.state === 'live') openProbes.set(draft, detectCrash(draft, hashes, choice))
    }
    return {
      ...choice,
      onFirstToken: () => {
        quarantine.recordAnswer(draft.team, partsOfBlocks(hashes))
        choice.onFirstToken()
      },
      onEnded
    }
  }

  return { admit, observe }
}
