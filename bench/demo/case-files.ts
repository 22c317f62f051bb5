/** Finds text files that serve as case files: the caller's own, or those that the installed packages ship. */
import { readFileSync, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'

/** One text to be drafted for. */
export interface CaseFile {
  path: string
  text: string
}

const textName = /\.(txt|md|text|rst)$|^(readme|licen[cs]e|changelog|notice)(\.\w+)?$/i
const minLength = 400
const maxLength = 24_000
const maxFiles = 120
const maxDepth = 6

function listFiles (path: string, depth: number): string[] {
  const stats = statSync(path, { throwIfNoEntry: false })
  if (stats === undefined) return []
  if (stats.isFile()) return [path]
  if (!stats.isDirectory() || depth > maxDepth) return []
  return readdirSync(path).sort().flatMap(name => listFiles(join(path, name), depth + 1))
}

function readCaseFile (path: string): CaseFile {
  return { path, text: readFileSync(path, 'utf8').slice(0, maxLength) }
}

/** Texts below the given path, of any name when a path was given. */
function readBelow (path: string, accepts: (name: string) => boolean): CaseFile[] {
  return listFiles(path, 0)
    .filter(file => accepts(file.slice(file.lastIndexOf('/') + 1)))
    .slice(0, maxFiles)
    .map(readCaseFile)
    .filter(({ text }) => text.trim().length > 0 && !text.includes('\0'))
}

/** README and licence files of the installed packages, one level deep. */
function readPackageTexts (): CaseFile[] {
  const names = readdirSync('node_modules').filter(name => !name.startsWith('.') && !name.startsWith('@')).sort()
  const files = names.flatMap(name => readdirSync(join('node_modules', name))
    .filter(file => textName.test(file))
    .map(file => join('node_modules', name, file)))
  return files
    .map(readCaseFile)
    .filter(({ text }) => text.length >= minLength)
    .slice(0, maxFiles)
}

/** The case files of a run; throws when there are none. */
export function findCaseFiles (path: string | undefined): CaseFile[] {
  const files = path === undefined ? readPackageTexts() : readBelow(path, () => true)
  if (files.length === 0) throw new Error(`No text files were found at "${path ?? 'node_modules'}"; give the path of a folder with text files.`)
  return files
}
