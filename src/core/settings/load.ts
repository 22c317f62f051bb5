/** Loads a node's settings file and the peer key that it refers to. */
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import { validateYaml, createSettingsError } from './document.ts'
import { formatFieldPath } from './fields.ts'
import { resolvePeerKey, readTextFile } from './peer-key.ts'
import type { Environment } from './peer-key.ts'
import { nodeSettingsSchema } from './schema.ts'
import type { NodeSettings } from './types.ts'

type SettingsResult = Result<NodeSettings, CyclamenError<'SettingsInvalid'>>

/** Parses settings from YAML; `file` is the name used in messages, and a path in the setting `peers.keyFile` is relative to the directory of `file`. */
export async function parseNodeSettings (text: string, file: string, environment: Environment = process.env): Promise<SettingsResult> {
  const { value, problems, document } = validateYaml(nodeSettingsSchema, text)
  // `document.problems` are the YAML syntax errors; `problems` contains all problems found so far.
  if (document.problems.length > 0) return err(createSettingsError(file, problems))
  const key = await resolvePeerKey(document.value, file, environment)
  if (key.isErr) {
    const { path, text } = key.error
    problems.push({ ...document.position(path), field: formatFieldPath(path), text })
  }
  if (key.isErr || value === undefined) return err(createSettingsError(file, problems))
  const { key: _key, keyFile: _keyFile, ...peers } = value.peers
  return ok({ ...value, peers: { ...peers, key: key.value } })
}

/** Loads a node's settings file. A file that can't be read is an error with one problem. */
export async function loadNodeSettings (path: string, environment: Environment = process.env): Promise<SettingsResult> {
  const text = await readTextFile(path)
  if (text.isOk) return parseNodeSettings(text.value, path, environment)
  const problem = { line: 1, column: 1, field: '', text: `can't be read (${text.error}); give the path of a readable YAML file` }
  return err(createSettingsError(path, [problem]))
}
