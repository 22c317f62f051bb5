/**
 * The prefix cache of a stand-in engine: an LRU cache of blocks. Its events
 * are delayed, and some are lost.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { CacheEvent } from '../../core/backends/index.ts'

export interface PrefixCacheOptions {
  maxBlocks: number
  nowMs: () => number
  eventLagMs: number
  /** Ratio of events that are lost, from 0 to 1; called for each event. */
  eventLossRatio: () => number
  seed: number
}

export interface PrefixCache {
  /** Counts the leading blocks that are cached and marks them as recently used. */
  match: (blocks: string[]) => number
  store: (blocks: string[]) => void
  size: () => number
  /** Returns the published events after a sequence number; lost events leave gaps in the numbers. */
  events: (afterSequence: number) => CacheEvent[]
}

const maxKeptEvents = 10_000

/** Creates an empty cache. */
export function createPrefixCache (options: PrefixCacheOptions): PrefixCache {
  const cached = new Set<string>()
  const random = xoroshiro128plus(options.seed)
  let events: Array<CacheEvent & { atMs: number }> = []
  let sequence = 0

  function publish (kind: CacheEvent['kind'], blocks: string[]): void {
    if (blocks.length === 0) return
    sequence += 1
    if (uniformFloat64(random) < options.eventLossRatio()) return
    events.push({ sequence, kind, blocks, atMs: options.nowMs() })
    if (events.length > 2 * maxKeptEvents) events = events.slice(-maxKeptEvents)
  }

  /** Adds a block, or moves it to the end of the set, which is ordered from least to most recently used. */
  function touch (block: string): void {
    cached.delete(block)
    cached.add(block)
  }

  function match (blocks: string[]): number {
    const firstMissing = blocks.findIndex(block => !cached.has(block))
    const hits = firstMissing === -1 ? blocks.length : firstMissing
    blocks.slice(0, hits).forEach(touch)
    return hits
  }

  function store (blocks: string[]): void {
    const added = blocks.filter(block => !cached.has(block))
    blocks.forEach(touch)
    const removed: string[] = []
    for (const block of cached) {
      if (cached.size <= options.maxBlocks) break
      cached.delete(block)
      removed.push(block)
    }
    publish('stored', added)
    publish('removed', removed)
  }

  return {
    match,
    store,
    size: () => cached.size,
    events: afterSequence => {
      const visibleUntilMs = options.nowMs() - options.eventLagMs
      return events
        .filter(event => event.sequence > afterSequence && event.atMs <= visibleUntilMs)
        .map(({ sequence, kind, blocks }) => ({ sequence, kind, blocks }))
    }
  }
}
