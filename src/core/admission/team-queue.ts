/** Waiting requests of one team, kept by priority and, within one, in order of arrival. */
import type { Priority } from '../teams/types.ts'

const priorities: readonly Priority[] = ['urgent', 'normal', 'batch']

/** A queue with one line for each priority. */
export interface TeamQueue<Item> {
  size: () => number
  /** Items that would be served before a new one of this priority. */
  ahead: (priority: Priority) => number
  push: (priority: Priority, item: Item) => void
  peek: () => Item | undefined
  remove: (item: Item) => void
  all: () => Item[]
}

/** An empty queue. */
export function createTeamQueue<Item> (): TeamQueue<Item> {
  const lines = new Map<Priority, Set<Item>>(priorities.map(priority => [priority, new Set<Item>()]))

  function ahead (priority: Priority): number {
    const upTo = priorities.slice(0, priorities.indexOf(priority) + 1)
    return upTo.reduce((sum, each) => sum + (lines.get(each)?.size ?? 0), 0)
  }

  function peek (): Item | undefined {
    for (const line of lines.values()) {
      const [first] = line
      if (first !== undefined) return first
    }
    return undefined
  }

  return {
    size: () => ahead('batch'),
    ahead,
    push: (priority, item) => { lines.get(priority)?.add(item) },
    peek,
    remove: item => lines.forEach(line => line.delete(item)),
    all: () => [...lines.values()].flatMap(line => [...line])
  }
}
