/** Tracks chats that were placed off their first choice, so that they return to their cached prefix. */

/** Bounded map from chat to target instance with least-recently-used eviction. */
export class MovedChats {
	private readonly instances = new Map<string, string>();

	constructor(private readonly maxChats: number) {}

	public get size(): number {
		return this.instances.size;
	}

	/** Returns the target on which the chat was last placed, if that was not its first choice. */
	public find(chat: string): string | undefined {
		const instance = this.instances.get(chat);
		if (instance !== undefined) {
			this.instances.delete(chat);
			this.instances.set(chat, instance);
		}
		return instance;
	}

	public remember(chat: string, instance: string): void {
		this.instances.delete(chat);
		this.instances.set(chat, instance);
		if (this.instances.size <= this.maxChats) {
			return;
		}
		const [oldest] = this.instances.keys();
		if (oldest !== undefined) {
			this.instances.delete(oldest);
		}
	}

	public forget(chat: string): void {
		this.instances.delete(chat);
	}

	/** Removes the chat's entry if it points to `instance`, where its prefix was evicted. */
	public forgetIfOn(chat: string, instance: string): void {
		if (this.instances.get(chat) === instance) {
			this.instances.delete(chat);
		}
	}
}
