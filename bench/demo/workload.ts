/** The demo's callers: drafts for case files, registrations, and repeats of registrations through other nodes. */
import { setTimeout as delay } from 'node:timers/promises'
import { createCallerClient } from '../../src/core/client/index.ts'
import type { CallerError, DraftSummary } from '../../src/core/client/index.ts'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import type { CaseFile } from './case-files.ts'
import { draftingTeam, registeringTeam } from './declarations.ts'

const draftDeadlineMs = 60_000
const callDeadlineMs = 30_000
const draftCallers = 8
const minTokens = 60
const maxTokens = 320
const callIntervalMs = 250
const repeatShare = 0.2

/** How one draft went. */
export interface DraftOutcome {
  file: CaseFile
  text: string
  restarts: number
  firstTokenMs: number | undefined
  totalMs: number
  summary: DraftSummary | undefined
  error: CallerError | undefined
}

/** How one registration went. */
export interface CallOutcome {
  key: string
  answer: string | undefined
  totalMs: number
  error: CallerError | undefined
}

/** All that the callers saw so far. */
export interface Workload {
  drafts: DraftOutcome[]
  calls: CallOutcome[]
  /** Requests that have no outcome yet. */
  open: () => number
  /** Sends no more requests and waits for the outcome of all. */
  finish: () => Promise<void>
}

/** Starts the callers; they go through all the given addresses. */
export function startWorkload (urls: string[], files: readonly CaseFile[], seed: number): Workload {
  const clock = createSystemClock()
  const random = createRandom(seed)
  const drafters = createCallerClient({ urls, token: draftingTeam.token, clock, random })
  const registrars = createCallerClient({ urls, token: registeringTeam.token, clock, random })
  const drafts: DraftOutcome[] = []
  const calls: CallOutcome[] = []
  const pending = new Set<Promise<void>>()
  const stopping = new AbortController()
  let open = 0

  async function draft (file: CaseFile, key: string): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    const route = random() < 0.5 ? 'letters' : 'summaries'
    const outcome: DraftOutcome = { file, text: '', restarts: 0, firstTokenMs: undefined, totalMs: 0, summary: undefined, error: undefined }
    const order = {
      team: draftingTeam.name,
      route,
      prompt: file.text,
      maxTokens: minTokens + Math.floor(random() * (maxTokens - minTokens)),
      key,
      deadlineAtMs: clock.wallMs() + draftDeadlineMs
    }
    open += 1
    for await (const event of drafters.draft(order)) {
      if (event.kind === 'token') {
        outcome.firstTokenMs ??= clock.monotonicMs() - startedAtMs
        outcome.text += event.text
      }
      if (event.kind === 'restart') {
        outcome.restarts += 1
        outcome.text = ''
      }
      if (event.kind === 'end') outcome.summary = event.summary
      if (event.kind === 'failed') outcome.error = event.error
    }
    open -= 1
    outcome.totalMs = clock.monotonicMs() - startedAtMs
    drafts.push(outcome)
  }

  async function register (key: string): Promise<void> {
    const startedAtMs = clock.monotonicMs()
    open += 1
    const result = await registrars.call({
      team: registeringTeam.name,
      route: 'registrations',
      key,
      contentType: 'application/json',
      body: Buffer.from(JSON.stringify({ reminder: key })),
      deadlineAtMs: clock.wallMs() + callDeadlineMs
    })
    open -= 1
    calls.push({
      key,
      answer: result.isOk ? result.value.body.toString('utf8') : undefined,
      totalMs: clock.monotonicMs() - startedAtMs,
      error: result.isErr ? result.error : undefined
    })
  }

  function track (task: Promise<void>): void {
    const tracked = task.finally(() => pending.delete(tracked))
    pending.add(tracked)
  }

  async function draftAgainAndAgain (caller: number): Promise<void> {
    for (let number = 0; !stopping.signal.aborted; number++) {
      const file = files[Math.floor(random() * files.length)]!
      await draft(file, `draft-${seed}-${caller}-${number}`)
    }
  }

  async function registerAtIntervals (): Promise<void> {
    for (let number = 0; !stopping.signal.aborted; number++) {
      const key = `reminder-${seed}-${number}`
      track(register(key))
      if (random() < repeatShare) track(register(key))
      await delay(callIntervalMs)
    }
  }

  for (let caller = 0; caller < draftCallers; caller++) track(draftAgainAndAgain(caller))
  track(registerAtIntervals())

  async function finish (): Promise<void> {
    stopping.abort()
    while (pending.size > 0) await Promise.all(pending)
    await Promise.all([drafters.close(), registrars.close()])
  }

  return { drafts, calls, open: () => open, finish }
}
