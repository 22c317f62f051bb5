/**
 * Rendezvous hashing (D. Thaler, C. Ravishankar, IEEE/ACM Transactions on
 * Networking 6, 1998): all nodes rank the backend servers for a key in the same
 * order without communication, and adding or removing a server reassigns only the
 * keys that ranked it first.
 */
import type { Backend } from '../backends/types.ts'
import type { BackendId, NodeId } from '../ids/index.ts'
import type { PromptBlocks, PromptHasher } from './types.ts'

/** Largest number of leading blocks that the affinity key covers. */
const maxAffinityBlocks = 32
/** Largest number of cached hashes of backend server ids. */
const maxCachedIdHashes = 65_536

/** Ranks backend servers. */
export interface Rendezvous {
  /** Returns the `count` backend servers with the highest scores for a key, highest first. */
  rank: (key: string, backends: readonly Backend[], count: number) => Backend[]
  /** Returns the subset of backend servers from which this node picks its random candidates. */
  subset: (node: NodeId, backends: readonly Backend[], size: number) => readonly Backend[]
}

/** Mixes two hashes; the finalizer of MurmurHash3 (A. Appleby, public domain). */
function mix (a: number, b: number): number {
  let mixed = a ^ Math.imul(b, 0x9e3779b1)
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** Creates the ranking functions of one node. */
export function createRendezvous (hasher: PromptHasher): Rendezvous {
  const idHashes = new Map<BackendId, number>()

  function hashOf (backend: BackendId): number {
    const known = idHashes.get(backend)
    if (known !== undefined) return known
    if (idHashes.size >= maxCachedIdHashes) idHashes.clear()
    const created = hasher.hash32(backend)
    idHashes.set(backend, created)
    return created
  }

  function rank (key: string, backends: readonly Backend[], count: number): Backend[] {
    const keyHash = hasher.hash32(key)
    const highest: Array<{ backend: Backend, score: number }> = []
    for (const backend of backends) {
      const score = mix(keyHash, hashOf(backend.id))
      const last = highest[count - 1]
      if (last !== undefined && score <= last.score) continue
      const position = highest.findIndex(other => score > other.score)
      highest.splice(position === -1 ? highest.length : position, 0, { backend, score })
      highest.length = Math.min(highest.length, count)
    }
    return highest.map(({ backend }) => backend)
  }

  function subset (node: NodeId, backends: readonly Backend[], size: number): readonly Backend[] {
    return backends.length <= size ? backends : rank(node, backends, size)
  }

  return { rank, subset }
}

/**
 * Returns the key by which the affinity backend servers of a prompt are ranked;
 * undefined when the prompt has no complete block. The default is the block hash
 * at the largest power of two within the prompt, up to `maxAffinityBlocks`, so that
 * different questions after the same long document usually share a key.
 */
export function affinityKeyOf (prompt: PromptBlocks): string | undefined {
  if (prompt.affinityKey !== undefined) return prompt.affinityKey
  if (prompt.hashes.length === 0) return undefined
  const depth = Math.min(maxAffinityBlocks, 2 ** Math.floor(Math.log2(prompt.hashes.length)))
  return prompt.hashes[depth - 1]
}
