/** Parses parameter values from the notation of YAML files into the units of declarations. */
import { err, ok } from 'true-myth/result'
import { findNearestName } from '../nearest/index.ts'
import type { Result } from 'true-myth'
import type { ParameterDefinition, ParameterKind } from './types.ts'

const msPerUnit: Record<string, number> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }

const expectedNotations: Record<ParameterKind, string> = {
  string: 'a string',
  number: 'a number',
  boolean: 'true or false',
  enum: 'one of the allowed values',
  list: 'a list',
  duration: 'a number with a unit, such as 500ms, 90s, 10m, 2h or 1d',
  money: 'an amount in euros with at most three decimals, such as "1.25 EUR"',
  time: 'a time with its time zone, such as 2027-03-01T06:00:00+02:00'
}

type ParseResult = Result<unknown, string>

function invalidValue (kind: ParameterKind, raw: unknown): ParseResult {
  return err(`is ${JSON.stringify(raw)}; write ${expectedNotations[kind]}`)
}

function parseDuration (raw: unknown): ParseResult {
  const match = typeof raw === 'string' ? /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/.exec(raw) : null
  return match === null ? invalidValue('duration', raw) : ok(Math.round(Number(match[1]) * msPerUnit[match[2]!]!))
}

function parseMoney (raw: unknown): ParseResult {
  const match = typeof raw === 'string' ? /^(\d+(?:\.\d{1,3})?) EUR$/.exec(raw) : null
  return match === null ? invalidValue('money', raw) : ok(Math.round(Number(match[1]) * 1_000))
}

function parseTime (raw: unknown): ParseResult {
  const isTime = typeof raw === 'string' && /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.\d+)?)?(Z|[+-]\d{2}:\d{2})$/.test(raw)
  const atMs = isTime ? Date.parse(raw) : NaN
  return Number.isNaN(atMs) ? invalidValue('time', raw) : ok(atMs)
}

function parseEnum (definition: ParameterDefinition, raw: unknown): ParseResult {
  const values = definition.values ?? []
  if (typeof raw === 'string' && values.includes(raw)) return ok(raw)
  const suggestion = findNearestName(String(raw), values)
  return err(`is ${JSON.stringify(raw)}; write one of ${values.join(', ')}${suggestion === undefined ? '' : `; did you mean "${suggestion}"?`}`)
}

function parseList (definition: ParameterDefinition, raw: unknown): ParseResult {
  const isNumbers = definition.of === 'number'
  const fits = Array.isArray(raw) && raw.every(item => isNumbers ? typeof item === 'number' : typeof item === 'string')
  return fits ? ok(raw) : err(`is ${JSON.stringify(raw)}; write a list of ${isNumbers ? 'numbers' : 'strings'}`)
}

/** Parses a value by its kind, without checking bounds. Durations become milliseconds, money thousandths of a euro, times milliseconds since the epoch. */
export function parseByKind (definition: ParameterDefinition, raw: unknown): ParseResult {
  switch (definition.kind) {
    case 'string': return typeof raw === 'string' ? ok(raw) : invalidValue('string', raw)
    case 'number': return typeof raw === 'number' && Number.isFinite(raw) ? ok(raw) : invalidValue('number', raw)
    case 'boolean': return typeof raw === 'boolean' ? ok(raw) : invalidValue('boolean', raw)
    case 'enum': return parseEnum(definition, raw)
    case 'list': return parseList(definition, raw)
    case 'duration': return parseDuration(raw)
    case 'money': return parseMoney(raw)
    case 'time': return parseTime(raw)
  }
}

/** Parses a bound: a length for strings and lists, otherwise a value of the parameter's kind. */
export function parseBound (definition: ParameterDefinition, raw: unknown): Result<number, string> {
  const isLength = definition.kind === 'string' || definition.kind === 'list'
  const parsed = isLength ? parseByKind({ ...definition, kind: 'number' }, raw) : parseByKind(definition, raw)
  return parsed.andThen(value => typeof value === 'number'
    ? ok<number, string>(value)
    : err<number, string>(`is a bound, which a parameter of kind ${definition.kind} can't have; remove it`))
}

/** Parses a value by its kind and checks its bounds. */
export function parseParameter (definition: ParameterDefinition, raw: unknown): ParseResult {
  const parsed = parseByKind(definition, raw)
  if (parsed.isErr) return parsed
  const { value } = parsed
  const size = typeof value === 'string' || Array.isArray(value) ? value.length : Number(value)
  const unit = typeof value === 'string' ? ' characters' : Array.isArray(value) ? ' entries' : ''
  const isBelow = definition.min !== undefined && size < parseBound(definition, definition.min).unwrapOr(-Infinity)
  const isAbove = definition.max !== undefined && size > parseBound(definition, definition.max).unwrapOr(Infinity)
  if (isBelow) return err(`is ${JSON.stringify(raw)}; write at least ${String(definition.min)}${unit}`)
  if (isAbove) return err(`is ${JSON.stringify(raw)}; write at most ${String(definition.max)}${unit}`)
  return parsed
}
