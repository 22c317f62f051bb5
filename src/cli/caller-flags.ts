/** Flags of the commands that send requests to nodes as a caller or an operator. */
import { readFile } from 'node:fs/promises'
import { Flags } from '@oclif/core'
import { createError } from '../core/errors/index.ts'

/** Name of the environment variable that holds the caller's or operator's token. */
export const tokenEnvVar = 'CYCLAMENSHUNT_TOKEN'

/** Node addresses and the token. The token can't be passed as a flag's value, since other users could read it in the process list. */
export const nodeFlags = {
  url: Flags.string({
    description: 'Address of a node or load balancer; can be given several times, and the next one is tried when one fails.',
    multiple: true,
    multipleNonGreedy: true,
    env: 'CYCLAMENSHUNT_URL',
    default: ['http://127.0.0.1:8080']
  }),
  'token-file': Flags.string({
    description: `File that contains the token; defaults to the environment variable ${tokenEnvVar}.`
  })
}

/** Flags of the commands `call` and `draft`. */
export const callerFlags = {
  ...nodeFlags,
  team: Flags.string({ description: 'Team that the request is made for.', required: true }),
  route: Flags.string({ description: 'Route of the team.', required: true }),
  key: Flags.string({ description: 'Idempotency key; generated when omitted. Repeat a command with the same key to get the same response.' }),
  'deadline-in': Flags.integer({ description: 'Deadline of the request, in seconds from now.', default: 120, min: 1 })
}

/** Reads the token from the given file or else from the environment; throws `ArgumentWrong` when there is none. */
export async function readToken (file: string | undefined): Promise<string> {
  if (file !== undefined) return (await readInput(file)).toString('utf8').trim()
  const token = process.env[tokenEnvVar]
  if (token !== undefined && token !== '') return token
  throw createError('ArgumentWrong', { argument: 'The token', problem: `is missing; set ${tokenEnvVar} or give --token-file` })
}

/** Reads a file, or standard input for "-"; throws `ArgumentWrong` when the file can't be read. */
export async function readInput (path: string): Promise<Buffer> {
  if (path === '-') {
    const chunks: Buffer[] = []
    for await (const chunk of process.stdin) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  }
  try {
    return await readFile(path)
  } catch (error) {
    throw createError('ArgumentWrong', { argument: `File "${path}"`, problem: `can't be read (${(error as NodeJS.ErrnoException).code ?? 'unknown'})` })
  }
}
