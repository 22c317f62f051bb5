/** Reads a node's settings file and the secrets that it points to. */
import { readFile } from 'node:fs/promises'
import { dirname, resolve } from 'node:path'
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import { readYaml, settingsInvalid } from './document.ts'
import { minPeerKeyLength, nodeSettingsSchema } from './schema.ts'
import type { NodeSettings, SettingsFile } from './types.ts'

/** Name of the environment variable that holds the peer key; it goes before the file. */
export const peerKeyVariable = 'CYCLAMENSHUNT_PEER_KEY'

type Environment = Record<string, string | undefined>
type SettingsResult = Result<NodeSettings, CyclamenError<'SettingsInvalid'>>

async function readText (path: string): Promise<Result<string, string>> {
  try {
    return ok(await readFile(path, 'utf8'))
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error))
  }
}

function problem (file: string, field: string, text: string): CyclamenError<'SettingsInvalid'> {
  return settingsInvalid(file, [{ line: 1, column: 1, field, text }])
}

/** Finds the peer key: the environment first, then `keyFile`, then `key`. */
async function findPeerKey (settings: SettingsFile, file: string, environment: Environment): Promise<Result<string, CyclamenError<'SettingsInvalid'>>> {
  const given = environment[peerKeyVariable]
  if (given !== undefined) return checkPeerKey(given, peerKeyVariable, file)
  const { key, keyFile } = settings.peers
  if (keyFile !== undefined) {
    const text = await readText(resolve(dirname(file), keyFile))
    if (text.isErr) return err(problem(file, 'peers.keyFile', `can't be read (${text.error}); make the file readable for this process`))
    return checkPeerKey(text.value.trim(), 'peers.keyFile', file)
  }
  if (key !== undefined) return ok(key)
  return err(problem(file, 'peers.key', `is missing; add peers.keyFile or set ${peerKeyVariable}`))
}

function checkPeerKey (key: string, field: string, file: string): Result<string, CyclamenError<'SettingsInvalid'>> {
  if (key.length >= minPeerKeyLength) return ok(key)
  return err(problem(file, field, `is too short; use at least ${minPeerKeyLength} characters`))
}

/** Reads settings from a text; `file` stands in the messages and is where `keyFile` is relative to. */
export async function createSettings (text: string, file: string, environment: Environment = process.env): Promise<SettingsResult> {
  const parsed = readYaml(nodeSettingsSchema, text, file)
  if (parsed.isErr) return err(parsed.error)
  const key = await findPeerKey(parsed.value, file, environment)
  if (key.isErr) return err(key.error)
  const { key: _key, keyFile: _keyFile, ...peers } = parsed.value.peers
  return ok({ ...parsed.value, peers: { ...peers, key: key.value } })
}

/** Reads a node's settings file. */
export async function loadSettings (path: string, environment: Environment = process.env): Promise<SettingsResult> {
  const text = await readText(path)
  if (text.isErr) return err(problem(path, '', `can't be read (${text.error}); give the path of a readable YAML file`))
  return createSettings(text.value, path, environment)
}
