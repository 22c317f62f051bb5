/** The users' mix of prompts: three kinds of requests whose prompts share their first parts. */
import { exponential, weighted } from '../random-draws.ts'
import type { PromptBlocks } from '../../../src/core/routing/index.ts'
import type { Random } from '../../../src/core/random/index.ts'

/** A kind of request; token counts are means of log-normal distributions. */
interface RequestKind {
  name: string
  perSecond: number
  targetMs: number
  deadlineMs: number
  /** Shared parts: how many different ones there are, their tokens, and the spread of these. */
  shared: ReadonlyArray<{ count: number, tokens: number, spread: number }>
  ownTokens: number
  ownSpread: number
  answerTokens: number
}

/** One request of the workload. */
export interface PlacedRequest {
  atMs: number
  kind: string
  targetMs: number
  deadlineMs: number
  prompt: PromptBlocks
  answerTokens: number
}

const kinds: readonly RequestKind[] = [
  { name: 'dossier', perSecond: 101, targetMs: 808, deadlineMs: 6_057, shared: [{ count: 4, tokens: 2_520, spread: 0.4 }, { count: 1_440, tokens: 3_780, spread: 0.7 }], ownTokens: 2_890, ownSpread: 1, answerTokens: 52 },
  { name: 'letter', perSecond: 123, targetMs: 504, deadlineMs: 4_033, shared: [{ count: 39, tokens: 341, spread: 0.4 }, { count: 1_749, tokens: 227, spread: 0.7 }], ownTokens: 1_800, ownSpread: 1.3, answerTokens: 23 },
  { name: 'notice', perSecond: 75.6, targetMs: 403, deadlineMs: 15_120, shared: [{ count: 15, tokens: 103, spread: 0.4 }, { count: 479, tokens: 68.6, spread: 0.7 }], ownTokens: 543, ownSpread: 0.89, answerTokens: 280 }
]

/** Exponent of the popularity of shared parts: the part with rank r is used in proportion to 1 / r ** skew. */
const popularitySkew = 0.3

function logNormal (random: Random, mean: number, spread: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.max(1, Math.round(mean * Math.exp(spread * normal - spread * spread / 2)))
}

/** Draws an index with a skewed popularity, by inverting the cumulative distribution of r ** -skew. */
function popularIndex (random: Random, count: number): number {
  return Math.min(count - 1, Math.floor(count * random() ** (1 / (1 - popularitySkew))))
}

/** Draws the requests of a number of seconds; `load` multiplies all rates. */
export function drawRequests (random: Random, seconds: number, load: number): PlacedRequest[] {
  const partTokens = new Map<string, number>()
  const weights = kinds.map(({ perSecond }) => perSecond)
  const perSecond = weights.reduce((sum, weight) => sum + weight, 0) * load
  const requests: PlacedRequest[] = []
  for (let atMs = exponential(random, 1_000 / perSecond); atMs < seconds * 1_000; atMs += exponential(random, 1_000 / perSecond)) {
    const kind = kinds[weighted(random, weights)] as RequestKind
    const hashes: string[] = []
    const blockTokens: number[] = []
    for (const [depth, { count, tokens, spread }] of kind.shared.entries()) {
      const index = popularIndex(random, count)
      // A deeper part has one fixed parent, so that its text determines the parts before it.
      if (depth > 0) hashes[depth - 1] = `${kind.name}/${depth - 1}/${index % (kind.shared[depth - 1]?.count ?? 1)}`
      hashes[depth] = `${kind.name}/${depth}/${index}`
      for (const hash of hashes) if (!partTokens.has(hash)) partTokens.set(hash, logNormal(random, kind.shared[Number(hash.split('/')[1])]?.tokens ?? tokens, spread))
    }
    for (const hash of hashes) blockTokens.push(partTokens.get(hash) ?? 0)
    const affinityKey = hashes.at(-1) ?? ''
    hashes.push(`request/${requests.length}`)
    blockTokens.push(logNormal(random, kind.ownTokens, kind.ownSpread))
    const prompt: PromptBlocks = { hashes, blockTokens, affinityKey, tokens: blockTokens.reduce((sum, tokens) => sum + tokens, 0) }
    requests.push({ atMs, kind: kind.name, targetMs: kind.targetMs, deadlineMs: kind.deadlineMs, prompt, answerTokens: logNormal(random, kind.answerTokens, 0.7) })
  }
  return requests
}
