/** Resolves the peer key, the secret that all nodes share. */
import { readFile } from 'node:fs/promises'
import { dirname, resolve } from 'node:path'
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { FieldPath } from './fields.ts'
import { minPeerKeyLength } from './schema.ts'

/** Name of the environment variable that holds the peer key; it takes precedence over the settings file. */
export const peerKeyEnvVar = 'CYCLAMENSHUNT_PEER_KEY'

/** The environment variables of a process. */
export type Environment = Record<string, string | undefined>

/** Why there is no valid peer key, and the field that has to be changed. */
export interface PeerKeyProblem {
  path: FieldPath
  text: string
}

/** Reads a UTF-8 file; the error is the system error code, such as ENOENT. */
export async function readTextFile (path: string): Promise<Result<string, string>> {
  try {
    return ok(await readFile(path, 'utf8'))
  } catch (error) {
    return err((error as NodeJS.ErrnoException).code ?? String(error))
  }
}

function checkLength (key: string, path: FieldPath, source: string): Result<string, PeerKeyProblem> {
  if (key.length >= minPeerKeyLength) return ok(key)
  return err({ path, text: `from ${source} is too short; write at least ${minPeerKeyLength} characters` })
}

/** Resolves the peer key from the environment, else from `keyFile`, else from `key`. The length of `key` is checked by the schema. */
export async function resolvePeerKey (value: unknown, file: string, environment: Environment): Promise<Result<string, PeerKeyProblem>> {
  const fromEnvironment = environment[peerKeyEnvVar]
  if (fromEnvironment !== undefined) return checkLength(fromEnvironment, ['peers', 'key'], peerKeyEnvVar)
  const { key, keyFile } = (value as { peers?: { key?: unknown, keyFile?: unknown } | null } | null)?.peers ?? {}
  if (typeof keyFile === 'string') {
    const text = await readTextFile(resolve(dirname(file), keyFile))
    if (text.isOk) return checkLength(text.value.trim(), ['peers', 'keyFile'], 'the file')
    return err({ path: ['peers', 'keyFile'], text: `can't be read (${text.error}); make the file readable for this process` })
  }
  if (typeof key === 'string') return ok(key)
  return err({ path: ['peers', 'key'], text: `is missing; add peers.keyFile or set ${peerKeyEnvVar}` })
}
