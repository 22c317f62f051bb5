/**
 * The attempts of a stand-in engine. An attempt is kept for a while after its
 * last reader left, so that its stream can be resumed.
 */
import { countTokens, tokensPerBlock } from '../../core/backends/index.ts'
import { attachReader } from './attempt-stream.ts'
import { charsPerGeneratedToken, generatedToken, textSeed } from './generated-text.ts'
import type { Response } from 'express'
import type { Clock } from '../../core/clock/index.ts'
import type { HashBlocks } from '../../core/backends/index.ts'
import type { EngineTimings } from '../timings.ts'
import type { Attempt } from './attempt-stream.ts'
import type { EngineFaults } from './faults.ts'
import type { PrefixCache } from './prefix-cache.ts'
import type { Scheduler, Sequence } from './scheduler.ts'

/** A parsed request to start an attempt. */
export interface EngineAttemptRequest {
  id: string
  version: string
  prompt: string
  /** Text that earlier attempts generated. */
  generatedText: string
  maxTokens: number
  priority: number
  slowFactor: number
  /** Number, from 1, of the token at which the attempt fails instead of sending it. */
  breakAtToken: number | undefined
}

/** Counts since the engine started. */
export interface EngineCounts {
  started: number
  finished: number
  cancelled: number
  generatedTokens: number
  /** Prompt tokens that weren't found in the prefix cache. */
  prefilledTokens: number
  /** Prompt tokens that were found in the prefix cache. */
  cachedTokens: number
}

export interface AttemptsOptions {
  clock: Clock
  timings: EngineTimings
  scheduler: Scheduler
  cache: PrefixCache
  hashBlocks: HashBlocks
  faults: EngineFaults
  /** Ends all connections and refuses new ones for a while. */
  crash: () => void
}

/** The attempts of one engine. */
export interface Attempts {
  has: (id: string) => boolean
  start: (request: EngineAttemptRequest, response: Response) => void
  /** Attaches another reader; `false` when the attempt is unknown. */
  resume: (id: string, fromIndex: number, response: Response) => boolean
  cancel: (id: string) => void
  /** Cache blocks of the prompt and the generated text; undefined when the attempt is unknown. */
  blocks: (id: string) => string[] | undefined
  counts: () => EngineCounts
  /** Writes a comment to every stream and drops attempts that have had no reader for `abandonedAfterMs`. */
  maintain: () => void
}

interface AttemptEntry {
  attempt: Attempt
  sequence: Sequence
  text: string
  /** Monotonic time at which the last reader left; undefined while there is a reader. */
  lastReaderLeftAtMs: number | undefined
}

/** Creates the attempts of one engine. */
export function createAttempts (options: AttemptsOptions): Attempts {
  const { clock, timings, scheduler, cache, hashBlocks, faults, crash } = options
  const entries = new Map<string, AttemptEntry>()
  const counts: EngineCounts = { started: 0, finished: 0, cancelled: 0, generatedTokens: 0, prefilledTokens: 0, cachedTokens: 0 }

  function blocksOf ({ attempt, text }: AttemptEntry): string[] {
    const generated = Array.from({ length: attempt.generatedTokens }, (_, index) => generatedToken(attempt.seed, attempt.earlierTokens + index))
    return hashBlocks(text + generated.join(''))
  }

  function finish (entry: AttemptEntry): void {
    counts.finished += 1
    cache.store(blocksOf(entry))
  }

  function makeSequence (request: EngineAttemptRequest, attempt: Attempt, entry: () => AttemptEntry, blocks: string[]): Sequence {
    const sequence: Sequence = {
      priority: request.priority,
      prefillTokens: Math.max(1, attempt.promptTokens - attempt.cachedTokens),
      maxTokens: request.maxTokens,
      generatedTokens: 0,
      slowFactor: request.slowFactor,
      onPrefilled: () => cache.store(blocks),
      onToken: () => {
        if (sequence.generatedTokens === 1 && faults.crashOnText !== undefined && request.prompt.includes(faults.crashOnText)) {
          crash()
          return false
        }
        if (sequence.generatedTokens === request.breakAtToken) attempt.failure = 'the version failed in the middle of the stream'
        else attempt.generatedTokens = sequence.generatedTokens
        counts.generatedTokens += 1
        const ended = attempt.failure !== undefined || attempt.generatedTokens >= request.maxTokens
        if (ended && attempt.failure === undefined) attempt.finishReason = 'length'
        for (const reader of attempt.readers) reader.flush()
        if (ended) finish(entry())
        return !ended
      }
    }
    return sequence
  }

  function start (request: EngineAttemptRequest, response: Response): void {
    const text = request.prompt + request.generatedText
    const blocks = hashBlocks(text)
    const promptTokens = countTokens(text)
    const cachedTokens = Math.min(cache.match(blocks) * tokensPerBlock, promptTokens - 1)
    const attempt: Attempt = {
      id: request.id,
      version: request.version,
      seed: textSeed(request.prompt, request.version),
      earlierTokens: request.generatedText.length / charsPerGeneratedToken,
      promptTokens,
      cachedTokens,
      generatedTokens: 0,
      finishReason: undefined,
      failure: undefined,
      readers: new Set()
    }
    const entry: AttemptEntry = { attempt, sequence: makeSequence(request, attempt, () => entry, blocks), text, lastReaderLeftAtMs: undefined }
    entries.set(request.id, entry)
    counts.started += 1
    counts.cachedTokens += cachedTokens
    counts.prefilledTokens += promptTokens - cachedTokens
    attach(entry, response, 0)
    scheduler.add(entry.sequence)
  }

  function attach (entry: AttemptEntry, response: Response, fromIndex: number): void {
    entry.lastReaderLeftAtMs = undefined
    attachReader(entry.attempt, response, fromIndex, faults, () => {
      if (entry.attempt.readers.size === 0) entry.lastReaderLeftAtMs = clock.monotonicMs()
    })
  }

  function drop (id: string, entry: AttemptEntry): void {
    entries.delete(id)
    if (entry.attempt.finishReason !== undefined || entry.attempt.failure !== undefined) return
    scheduler.remove(entry.sequence)
    counts.cancelled += 1
    entry.attempt.failure = 'the attempt was cancelled'
    for (const reader of entry.attempt.readers) reader.flush()
  }

  function maintain (): void {
    const nowMs = clock.monotonicMs()
    for (const [id, entry] of entries) {
      for (const reader of entry.attempt.readers) reader.sendComment()
      if (entry.lastReaderLeftAtMs !== undefined && nowMs - entry.lastReaderLeftAtMs >= timings.abandonedAfterMs) drop(id, entry)
    }
  }

  return {
    has: id => entries.has(id),
    start,
    resume: (id, fromIndex, response) => {
      const entry = entries.get(id)
      if (entry === undefined) return false
      attach(entry, response, fromIndex)
      return true
    },
    cancel: id => {
      const entry = entries.get(id)
      if (entry !== undefined) drop(id, entry)
    },
    blocks: id => {
      const entry = entries.get(id)
      return entry === undefined ? undefined : blocksOf(entry)
    },
    counts: () => ({ ...counts }),
    maintain
  }
}
