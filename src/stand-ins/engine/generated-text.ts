/**
 * Deterministic text of a stand-in engine: each token depends only on the
 * prompt, the version and its index, so that tests can detect wrong or
 * truncated answers.
 */
import { createHash } from 'node:crypto'

const lettersPerToken = 5
/** 32 characters. Includes non-ASCII letters and a quote, so that tests exercise UTF-8 decoding and JSON escaping. */
const alphabet = 'abcdefghijklmnoprstαβγδεζηθλπω"é'
/** Length of every token: a space and its letters. */
export const charsPerGeneratedToken = lettersPerToken + 1

const bitsPerLetter = 5
const letterMask = 31

/** The seed of the text that a version generates for a prompt. */
export function textSeed (prompt: string, version: string): number {
  return createHash('md5').update(prompt).update('\0').update(version).digest().readUInt32LE(0)
}

/** The token at an index of the answer with the given seed. */
export function generatedToken (seed: number, index: number): string {
  let mixed = (seed ^ Math.imul(index + 1, 0x9E3779B1)) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85EBCA6B) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2B2AE35) >>> 0
  mixed = (mixed ^ (mixed >>> 16)) >>> 0
  let text = ' '
  for (let letter = 0; letter < lettersPerToken; letter += 1) {
    text += alphabet[mixed & letterMask]
    mixed >>>= bitsPerLetter
  }
  return text
}

/** The first `tokens` tokens that a version generates for a prompt. */
export function generatedAnswer (prompt: string, version: string, tokens: number): string {
  const seed = textSeed(prompt, version)
  return Array.from({ length: tokens }, (_, index) => generatedToken(seed, index)).join('')
}
