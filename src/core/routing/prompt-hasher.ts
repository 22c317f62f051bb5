/** Hashes of prompt blocks and even draws from texts, by xxHash. */
import xxhash from 'xxhash-wasm'
import type { PromptBlocks, PromptHasher } from './types.ts'

/** Characters of a prompt block. */
export const blockCharacters = 256
/** Characters that make up a token on average; engines count exactly, routing only estimates. */
export const charactersPerToken = 4
/** Estimated tokens of a prompt block. */
export const blockTokens = blockCharacters / charactersPerToken

const hashHexDigits = 16
const range32 = 2 ** 32

/** Loads the hash function and creates the hasher of a process. */
export async function createPromptHasher (): Promise<PromptHasher> {
  const { h32, h64 } = await xxhash()

  // Each hash is the seed of the next, so that equal hashes mean equal prompts up to that block.
  function blocks (prompt: string): PromptBlocks {
    const hashes: string[] = []
    let chained = 0n
    for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
      chained = h64(prompt.slice(start, start + blockCharacters), chained)
      hashes.push(chained.toString(16).padStart(hashHexDigits, '0'))
    }
    return { hashes, tokens: Math.ceil(prompt.length / charactersPerToken) }
  }

  return {
    blocks,
    draw: text => h32(text) / range32,
    hash32: text => h32(text)
  }
}
