/**
 * What a stand-in engine generates: text that follows from the prompt, the
 * version and the index, so that a wrong or cut answer is told.
 */
import { createHash } from 'node:crypto'

const lettersPerToken = 5
/** Letters beyond ASCII and a quote, so that decoding and escaping are exercised. */
const alphabet = 'abcdefghijklmnoprstαβγδεζηθλπω"é'
/** Characters of every token: a space and its letters. */
export const charsPerGeneratedToken = lettersPerToken + 1

const bitsPerLetter = 5
const letterMask = 31

/** The number from which the text of a prompt and version follows. */
export function textSeed (prompt: string, version: string): number {
  return createHash('md5').update(prompt).update('\0').update(version).digest().readUInt32LE(0)
}

/** The token at an index of an answer. */
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

/** The first tokens of the answer to a prompt by a version. */
export function generatedAnswer (prompt: string, version: string, tokens: number): string {
  const seed = textSeed(prompt, version)
  return Array.from({ length: tokens }, (_, index) => generatedToken(seed, index)).join('')
}
