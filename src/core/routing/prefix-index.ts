/**
 * Approximate index of which backend server holds which prompt prefix. It
 * learns from this node's own routing and from cache events, which are late
 * and have gaps, and it is bounded in memory.
 */
import type { CacheEvent } from '../backends/types.ts'
import type { BackendId } from '../ids/index.ts'

/** Most backend servers remembered for one block; the oldest gives way. */
const maxHoldersPerBlock = 8

/** The index of one node. */
export interface PrefixIndex {
  /** Leading blocks that each backend server is thought to hold; those with none are left out. */
  held: (hashes: readonly string[]) => Map<BackendId, number>
  record: (backend: BackendId, hashes: readonly string[]) => void
  /** Applies cache events in order. Returns false when events were missing and the backend server's entries were dropped. */
  apply: (backend: BackendId, events: readonly CacheEvent[]) => boolean
  forget: (backend: BackendId) => void
  size: () => number
}

/** Entries of one backend server since it was last trusted anew. Dropping trust replaces it, so no entry has to be visited. */
interface Generation {
  readonly backend: BackendId
}

/** A block at a backend server, with the time of its last use there. */
interface Holder {
  generation: Generation
  usedAtMs: number
}

/** When entries stop to count because they weren't used. */
export interface IndexExpiry {
  heldForMs: number
  nowMs: () => number
}

/** An empty index of at most `maxEntries` block hashes, whose entries count until they are pushed out, or expire. */
export function createPrefixIndex (maxEntries: number, expiry: IndexExpiry = { heldForMs: Infinity, nowMs: () => 0 }): PrefixIndex {
  const entries = new Map<string, Holder[]>()
  const generations = new Map<BackendId, Generation>()
  const sequences = new Map<BackendId, number>()

  function generationOf (backend: BackendId): Generation {
    const known = generations.get(backend)
    if (known !== undefined) return known
    const made = { backend }
    generations.set(backend, made)
    return made
  }

  function isCurrent (generation: Generation): boolean {
    return generations.get(generation.backend) === generation
  }

  function held (hashes: readonly string[]): Map<BackendId, number> {
    const oldestUseMs = expiry.nowMs() - expiry.heldForMs
    const counts = new Map<BackendId, number>()
    for (const [index, hash] of hashes.entries()) {
      let continued = false
      for (const { generation, usedAtMs } of entries.get(hash) ?? []) {
        const before = counts.get(generation.backend) ?? 0
        if (before !== index || !isCurrent(generation) || usedAtMs < oldestUseMs) continue
        counts.set(generation.backend, index + 1)
        continued = true
      }
      if (!continued) break
    }
    return counts
  }

  function evict (): void {
    for (const hash of entries.keys()) {
      if (entries.size <= maxEntries) return
      entries.delete(hash)
    }
  }

  // The last block goes in first, so that the oldest entries are the ends of prefixes and not their beginnings.
  function record (backend: BackendId, hashes: readonly string[]): void {
    const usedAtMs = expiry.nowMs()
    const generation = generationOf(backend)
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      const hash = hashes[index] as string
      const others = (entries.get(hash) ?? []).filter(other => other.generation !== generation && isCurrent(other.generation))
      entries.delete(hash)
      entries.set(hash, [...others, { generation, usedAtMs }].slice(-maxHoldersPerBlock))
    }
    evict()
  }

  function remove (backend: BackendId, hashes: readonly string[]): void {
    for (const hash of hashes) {
      const rest = (entries.get(hash) ?? []).filter(other => other.generation.backend !== backend)
      if (rest.length > 0) entries.set(hash, rest)
      else entries.delete(hash)
    }
  }

  function applyOne (backend: BackendId, event: CacheEvent): void {
    if (event.kind === 'stored') record(backend, event.blocks)
    if (event.kind === 'removed') remove(backend, event.blocks)
    if (event.kind === 'cleared') generations.delete(backend)
  }

  function apply (backend: BackendId, events: readonly CacheEvent[]): boolean {
    let complete = true
    for (const event of events) {
      const last = sequences.get(backend)
      if (last !== undefined && event.sequence <= last) continue
      if (last !== undefined && event.sequence > last + 1) {
        generations.delete(backend)
        complete = false
      }
      sequences.set(backend, event.sequence)
      applyOne(backend, event)
    }
    return complete
  }

  function forget (backend: BackendId): void {
    generations.delete(backend)
    sequences.delete(backend)
  }

  return { held, record, apply, forget, size: () => entries.size }
}
