/**
 * Continuous batching: each step generates one token for every decoding
 * sequence and prefills prompts up to a maximum number of tokens.
 */
import type { Clock } from '../../core/clock/index.ts'
import type { EngineTimings } from '../timings.ts'

/** One sequence of the batch. */
export interface Sequence {
  /** Lower values are scheduled first. */
  priority: number
  /** Prompt tokens that remain to be prefilled. */
  prefillTokens: number
  maxTokens: number
  generatedTokens: number
  /** Factor by which each token of this sequence takes longer. */
  slowFactor: number
  /** Called when the whole prompt is prefilled. */
  onPrefilled: () => void
  /** Called for each generated token; returns `false` to end the sequence. */
  onToken: () => boolean
}

export interface SchedulerOptions {
  clock: Clock
  timings: EngineTimings
  /** Factor by which every step takes longer; called for each step. */
  slowFactor: () => number
  whenThawed: () => Promise<void>
}

/** Runs sequences in a batch; `waiting` counts those that don't fit in the batch. */
export interface Scheduler {
  add: (sequence: Sequence) => void
  remove: (sequence: Sequence) => void
  running: () => number
  waiting: () => number
  close: () => void
}

/** Creates a scheduler. Its loop runs only while there are sequences. */
export function createScheduler (options: SchedulerOptions): Scheduler {
  const { clock, timings } = options
  const waiting: Sequence[] = []
  const running = new Set<Sequence>()
  /** Accumulated fraction of the next token, per sequence; a slow sequence needs several steps for one token. */
  const tokenCredit = new WeakMap<Sequence, number>()
  const closeController = new AbortController()
  let isWorking = false

  function admit (): void {
    while (running.size < timings.maxBatch && waiting.length > 0) running.add(waiting.shift() as Sequence)
  }

  /** Prefills prompts up to the maximum of one step; returns the number of prefilled tokens. */
  function prefill (): number {
    let remainingTokens = timings.maxPrefillTokensPerStep
    for (const sequence of running) {
      const tokens = Math.min(remainingTokens, sequence.prefillTokens)
      if (tokens === 0) continue
      sequence.prefillTokens -= tokens
      remainingTokens -= tokens
      if (sequence.prefillTokens === 0) sequence.onPrefilled()
    }
    return timings.maxPrefillTokensPerStep - remainingTokens
  }

  function generate (sequence: Sequence): void {
    const credit = (tokenCredit.get(sequence) ?? 0) + 1 / sequence.slowFactor
    tokenCredit.set(sequence, credit >= 1 ? credit - 1 : credit)
    if (credit < 1) return
    sequence.generatedTokens += 1
    if (!sequence.onToken()) running.delete(sequence)
  }

  async function runSteps (): Promise<void> {
    isWorking = true
    while (!closeController.signal.aborted) {
      admit()
      if (running.size === 0) break
      const decoding = [...running].filter(sequence => sequence.prefillTokens === 0)
      const prefilledTokens = prefill()
      const stepMs = timings.stepMs + decoding.length * timings.stepMsPerSequence + prefilledTokens * timings.prefillMsPerToken
      await clock.sleep(stepMs * options.slowFactor(), closeController.signal)
      await options.whenThawed()
      for (const sequence of decoding) {
        if (running.has(sequence)) generate(sequence)
      }
    }
    isWorking = false
  }

  function add (sequence: Sequence): void {
    const insertAt = waiting.findIndex(other => other.priority > sequence.priority)
    waiting.splice(insertAt === -1 ? waiting.length : insertAt, 0, sequence)
    if (!isWorking) runSteps()
  }

  function remove (sequence: Sequence): void {
    running.delete(sequence)
    const index = waiting.indexOf(sequence)
    if (index !== -1) waiting.splice(index, 1)
  }

  return { add, remove, running: () => running.size, waiting: () => waiting.length, close: () => closeController.abort() }
}
