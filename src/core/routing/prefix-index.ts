/**
 * Approximate index of which backend servers have which prompt prefixes cached.
 * Its sources are this node's own routing, the placements that peers report, and
 * the cache events of engines, which arrive late and with gaps. Its size is bounded.
 */
import type { CacheEvent } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'

/** Most backend servers stored for one block; the least recently used is dropped first. */
const maxHoldersPerBlock = 8

/** The index of one node. */
export interface PrefixIndex {
  /** Returns how many leading blocks each backend server probably has cached; servers with none are left out. */
  cachedBlocks: (hashes: readonly string[]) => Map<BackendId, number>
  record: (backend: BackendId, hashes: readonly string[]) => void
  /** Applies cache events in order. Returns false when events were missing; the backend server's earlier entries are then dropped. */
  applyEvents: (backend: BackendId, events: readonly CacheEvent[]) => boolean
  removeBackend: (backend: BackendId) => void
  size: () => number
}

/** Marks the valid entries of one backend server. Replacing the generation invalidates all of them without visiting any. */
interface Generation {
  readonly backend: BackendId
}

/** A backend server that has a block cached, with the time of the block's last use there. */
interface Holder {
  generation: Generation
  usedAtMs: number
}

/** Expiry of unused entries. */
export interface IndexExpiry {
  /** Time after its last use at which an entry expires. */
  ttlMs: number
  nowMs: () => number
}

/** Creates an empty index of at most `maxEntries` block hashes; entries are valid until they expire or are evicted. */
export function createPrefixIndex (maxEntries: number, expiry: IndexExpiry = { ttlMs: Infinity, nowMs: () => 0 }): PrefixIndex {
  const entries = new Map<string, Holder[]>()
  const generations = new Map<BackendId, Generation>()
  const sequences = new Map<BackendId, number>()

  function generationOf (backend: BackendId): Generation {
    const current = generations.get(backend)
    if (current !== undefined) return current
    const created = { backend }
    generations.set(backend, created)
    return created
  }

  function isCurrent (generation: Generation): boolean {
    return generations.get(generation.backend) === generation
  }

  function cachedBlocks (hashes: readonly string[]): Map<BackendId, number> {
    const oldestUseMs = expiry.nowMs() - expiry.ttlMs
    const counts = new Map<BackendId, number>()
    for (const [index, hash] of hashes.entries()) {
      let extended = false
      for (const { generation, usedAtMs } of entries.get(hash) ?? []) {
        const matchedBlocks = counts.get(generation.backend) ?? 0
        if (matchedBlocks !== index || !isCurrent(generation) || usedAtMs < oldestUseMs) continue
        counts.set(generation.backend, index + 1)
        extended = true
      }
      if (!extended) break
    }
    return counts
  }

  function evict (): void {
    for (const hash of entries.keys()) {
      if (entries.size <= maxEntries) return
      entries.delete(hash)
    }
  }

  /** Makes a backend server the latest holder of a block. Changes the list in place: thousands of blocks a second are recorded from the reports of large clusters. */
  function addHolder (holders: Holder[], generation: Generation, usedAtMs: number): void {
    let kept = 0
    for (const holder of holders) {
      if (holder.generation === generation || !isCurrent(holder.generation)) continue
      holders[kept] = holder
      kept += 1
    }
    holders.length = kept
    holders.push({ generation, usedAtMs })
    if (holders.length > maxHoldersPerBlock) holders.shift()
  }

  // Inserts the last block first, so that eviction removes the ends of prefixes before their beginnings.
  function record (backend: BackendId, hashes: readonly string[]): void {
    const usedAtMs = expiry.nowMs()
    const generation = generationOf(backend)
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      const hash = hashes[index] as string
      const holders = entries.get(hash)
      if (holders === undefined) {
        entries.set(hash, [{ generation, usedAtMs }])
        continue
      }
      addHolder(holders, generation, usedAtMs)
      // The latest entry is the last one to be evicted.
      entries.delete(hash)
      entries.set(hash, holders)
    }
    evict()
  }

  function remove (backend: BackendId, hashes: readonly string[]): void {
    for (const hash of hashes) {
      const remaining = (entries.get(hash) ?? []).filter(other => other.generation.backend !== backend)
      if (remaining.length > 0) entries.set(hash, remaining)
      else entries.delete(hash)
    }
  }

  function applyEvent (backend: BackendId, event: CacheEvent): void {
    if (event.kind === 'stored') record(backend, event.blocks)
    if (event.kind === 'removed') remove(backend, event.blocks)
    if (event.kind === 'cleared') generations.delete(backend)
  }

  function applyEvents (backend: BackendId, events: readonly CacheEvent[]): boolean {
    let complete = true
    for (const event of events) {
      const last = sequences.get(backend)
      if (last !== undefined && event.sequence <= last) continue
      if (last !== undefined && event.sequence > last + 1) {
        generations.delete(backend)
        complete = false
      }
      sequences.set(backend, event.sequence)
      applyEvent(backend, event)
    }
    return complete
  }

  function removeBackend (backend: BackendId): void {
    generations.delete(backend)
    sequences.delete(backend)
  }

  return { cachedBlocks, record, applyEvents, removeBackend, size: () => entries.size }
}
