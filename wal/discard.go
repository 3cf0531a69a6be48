package wal

// discardName is the name of the empty file that marks a directory whose files are being discarded.
const discardName = "discarded"

// Discard removes the stored state, so that the next Open finds a blank disk. A power cut at any
// moment leaves either the whole state or a directory that Open goes on discarding. The directory
// must not be open.
func Discard(options Options) error {
	if options.FS == nil {
		options.FS = OS{}
	}
	l := &Log{options: options}
	lock, err := options.FS.Lock(l.path(lockName))
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := l.markDiscarded(); err != nil {
		return err
	}
	return l.finishDiscard()
}

// markDiscarded creates the mark and makes it durable.
func (l *Log) markDiscarded() error {
	file, err := l.options.FS.Create(l.path(discardName))
	if err != nil {
		return ioError("creating "+discardName, err)
	}
	if err := file.Close(); err != nil {
		return ioError("closing "+discardName, err)
	}
	if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
		return ioError("syncing the directory", err)
	}
	return nil
}

// finishDiscard removes all files if the directory is marked as discarded, the mark last.
func (l *Log) finishDiscard() error {
	names, err := l.options.FS.List(l.options.Dir)
	if err != nil {
		return ioError("listing the directory", err)
	}
	marked := false
	for _, name := range names {
		marked = marked || name == discardName
	}
	if !marked {
		return nil
	}
	for _, name := range names {
		if name == discardName || name == lockName {
			continue
		}
		if err := l.removeFile(name); err != nil {
			return err
		}
	}
	if err := l.options.FS.SyncDir(l.options.Dir); err != nil {
		return ioError("syncing the directory", err)
	}
	if err := l.removeFile(discardName); err != nil {
		return err
	}
	return l.options.FS.SyncDir(l.options.Dir)
}

func (l *Log) removeFile(name string) error {
	if err := l.options.FS.Remove(l.path(name)); err != nil {
		return ioError("removing "+name, err)
	}
	return nil
}
