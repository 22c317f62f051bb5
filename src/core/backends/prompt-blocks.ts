/**
 * Hashes of a prompt's blocks, by which engines and nodes recognize shared
 * prefixes. Each hash covers its block and all blocks before it.
 */
import createXxhash from 'xxhash-wasm'

/** Characters of one block. */
export const charsPerBlock = 256
/** Estimated characters per token, used instead of a tokenizer. */
export const charsPerToken = 4
/** Tokens of one block. */
export const tokensPerBlock = charsPerBlock / charsPerToken

/** Estimates the number of tokens of a text. */
export function countTokens (text: string): number {
  return Math.ceil(text.length / charsPerToken)
}

/** Returns the hashes of all complete blocks of a prompt, first to last, each as 16 hex digits. */
export type HashBlocks = (prompt: string) => string[]

const hexDigits = 16
const hexRadix = 16

/** Loads the hash function and creates the block hasher. */
export async function createBlockHasher (): Promise<HashBlocks> {
  const { h64 } = await createXxhash()
  return prompt => {
    const hashes: string[] = []
    let previousHash = 0n
    for (let endOffset = charsPerBlock; endOffset <= prompt.length; endOffset += charsPerBlock) {
      // The previous hash is the seed, so equal blocks after different prefixes get different hashes.
      previousHash = h64(prompt.slice(endOffset - charsPerBlock, endOffset), previousHash)
      hashes.push(previousHash.toString(hexRadix).padStart(hexDigits, '0'))
    }
    return hashes
  }
}
