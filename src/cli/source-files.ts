/** Reads the YAML files that a command is given, also those of folders. */
import { readFile, readdir, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { createError } from '../core/errors/index.ts'
import type { SourceFile } from '../core/templates/index.ts'

const yamlName = /\.ya?ml$/

async function expand (path: string): Promise<string[]> {
  const stats = await stat(path).catch((error: NodeJS.ErrnoException) => {
    throw createError('ArgumentWrong', { argument: `File "${path}"`, problem: `can't be read (${error.code ?? 'unknown'})` })
  })
  if (!stats.isDirectory()) return [path]
  const names = (await readdir(path, { recursive: true })).filter(name => yamlName.test(name)).sort()
  return names.map(name => join(path, name))
}

/** Reads the given files; of a folder, all YAML files below it. */
export async function readSourceFiles (paths: readonly string[]): Promise<SourceFile[]> {
  const files = (await Promise.all(paths.map(expand))).flat()
  if (files.length === 0) throw createError('ArgumentWrong', { argument: paths.join(', '), problem: 'holds no YAML file' })
  return await Promise.all(files.map(async file => ({ file, text: await readFile(file, 'utf8') })))
}
