/** Reads the YAML files that a command is given, including those below folders. */
import { readFile, readdir, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { createError } from '../core/errors/index.ts'
import type { SourceFile } from '../core/templates/index.ts'

const yamlFilePattern = /\.ya?ml$/

async function listSourceFiles (path: string): Promise<string[]> {
  const stats = await stat(path).catch((error: NodeJS.ErrnoException) => {
    throw createError('ArgumentWrong', { argument: `File "${path}"`, problem: `can't be read (${error.code ?? 'unknown'})` })
  })
  if (!stats.isDirectory()) return [path]
  const names = (await readdir(path, { recursive: true })).filter(name => yamlFilePattern.test(name)).sort()
  return names.map(name => join(path, name))
}

/** Reads the given files, and all YAML files below the given folders. Throws `ArgumentWrong` when a path doesn't exist or there is no YAML file. */
export async function readSourceFiles (paths: readonly string[]): Promise<SourceFile[]> {
  const files = (await Promise.all(paths.map(listSourceFiles))).flat()
  if (files.length === 0) throw createError('ArgumentWrong', { argument: paths.join(', '), problem: 'contains no YAML file' })
  return await Promise.all(files.map(async file => ({ file, text: await readFile(file, 'utf8') })))
}
