/** Hashes prompt blocks the same way as the engines do, and maps texts to evenly distributed numbers. */
import xxhash from 'xxhash-wasm'
import { countTokens, createBlockHasher } from '../backends/prompt-blocks.ts'
import type { PromptHasher } from './types.ts'

const uint32Range = 2 ** 32

/** Loads the hash function and creates the prompt hasher; a process needs only one. */
export async function createPromptHasher (): Promise<PromptHasher> {
  const { h32 } = await xxhash()
  const hashBlocks = await createBlockHasher()
  return {
    blocks: prompt => ({ hashes: hashBlocks(prompt), tokens: countTokens(prompt) }),
    draw: text => h32(text) / uint32Range,
    hash32: text => h32(text)
  }
}
